package gateway

import "bytes"

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// eventBuffer gathers the bytes of a stream into whole events.
type eventBuffer struct {
	data []byte
	used int
}

func newEventBuffer(size int) *eventBuffer { return &eventBuffer{data: make([]byte, size)} }

// room returns where the next bytes go.
func (b *eventBuffer) room() []byte {
	if b.used == len(b.data) {
		b.data = append(b.data, make([]byte, len(b.data))...)
	}
	return b.data[b.used:]
}

// add counts bytes that were put in and returns the whole events so far.
func (b *eventBuffer) add(n int) []byte {
	b.used += n
	end := bytes.LastIndex(b.data[:b.used], eventEnd)
	if end < 0 {
		return nil
	}
	return b.data[:end+len(eventEnd)]
}

// drop removes bytes that were sent on.
func (b *eventBuffer) drop(n int) {
	copy(b.data, b.data[n:b.used])
	b.used -= n
}

// pending returns the number of bytes of an event that is not whole.
func (b *eventBuffer) pending() int { return b.used }

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
