package gateway

import (
	"bytes"
	"fmt"
)

// maxEventSize bounds an event of a stream, in bytes.
const maxEventSize = 1 << 20

// eventTooLargeError says that a target sent an event without end.
type eventTooLargeError struct{}

func (eventTooLargeError) Error() string {
	return fmt.Sprintf("an event is longer than %d bytes", maxEventSize)
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// eventBuffer splits a byte stream into complete server-sent events.
type eventBuffer struct {
	data []byte
	n    int
}

func newEventBuffer(size int) *eventBuffer { return &eventBuffer{data: make([]byte, size)} }

// free returns the unused part of the buffer, and grows it when it is full.
func (b *eventBuffer) free() []byte {
	if b.n == len(b.data) {
		b.data = append(b.data, make([]byte, len(b.data))...)
	}
	return b.data[b.n:]
}

// advance records that n bytes were written to free, and returns the complete
// events in the buffer.
func (b *eventBuffer) advance(n int) []byte {
	b.n += n
	end := bytes.LastIndex(b.data[:b.n], eventEnd)
	if end < 0 {
		return nil
	}
	return b.data[:end+len(eventEnd)]
}

// consume removes the first n bytes.
func (b *eventBuffer) consume(n int) {
	copy(b.data, b.data[n:b.n])
	b.n -= n
}

// pending returns the number of bytes in the buffer; after consume, those of an
// incomplete event.
func (b *eventBuffer) pending() int { return b.n }

// lastID returns the id of the last event that has one, or "".
func lastID(events []byte) string {
	lines := bytes.Split(events, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if rest, ok := bytes.CutPrefix(lines[i], idField); ok {
			return string(bytes.TrimSpace(rest))
		}
	}
	return ""
}
