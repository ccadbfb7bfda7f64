package courier

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"

	"vanillalug.example/reception"
)

// maxEventBytes limits one event of a stream.
const maxEventBytes = 1 << 20

var doneData = []byte("[DONE]")

// EventReader reads server-sent events. The id of an event is its request and
// offset, "request/offset". An event without an id has the offset that follows
// the last one.
type EventReader struct {
	r       *bufio.Reader
	request string
	offset  int
	line    []byte
	// hold charges what an incomplete event needs beyond freeEventBytes.
	hold *reception.Hold
}

// NewEventReader returns a reader. Events without an id get the request, and
// the first of them the offset.
func NewEventReader(r io.Reader, request string, offset int) *EventReader {
	return &EventReader{
		r: bufio.NewReaderSize(r, readBufferBytes), request: request, offset: offset,
		hold: reception.NewHold(context.Background()),
	}
}

const readBufferBytes = 512

const (
	// freeEventBytes is how much of an event isn't charged; those with a token are much shorter.
	freeEventBytes = 16 << 10
	// growthFactor is how much longer than its content a buffer may be.
	growthFactor = 2
)

// cover charges a line and the data of an event that isn't complete.
func (e *EventReader) cover(data int) error {
	size := growthFactor * (cap(e.line) + data)
	if size > freeEventBytes && !e.hold.Cover(size) {
		return &reception.NoRoomError{}
	}
	return nil
}

// release gives back what was charged for an event that is complete, with the buffer of a long line.
func (e *EventReader) release() {
	if cap(e.line) > freeEventBytes {
		e.line = nil
	}
	e.hold.Shrink(0)
}

// Next returns the next event that has data. It returns io.EOF at the end; a
// truncated event is dropped.
func (e *EventReader) Next() (Event, error) {
	ev := Event{Request: e.request, Offset: e.offset}
	hasData := false
	for {
		line, err := e.readLine(len(ev.Data))
		if err != nil {
			return Event{}, err
		}
		switch {
		case len(line) == 0 && hasData:
			if ev.Name == "" {
				e.offset = ev.Offset + 1
			}
			ev.End = bytes.Equal(ev.Data, doneData)
			e.release()
			return ev, nil
		case bytes.HasPrefix(line, []byte("data:")):
			ev.Data = appendData(ev.Data, line, hasData)
			hasData = true
		case bytes.HasPrefix(line, []byte("event:")):
			ev.Name = string(bytes.TrimSpace(line[len("event:"):]))
		case bytes.HasPrefix(line, []byte("id:")):
			ev.Request, ev.Offset, err = parseID(bytes.TrimSpace(line[len("id:"):]))
			if err != nil {
				return Event{}, err
			}
		}
		if len(ev.Data) > maxEventBytes {
			return Event{}, &TooLargeError{limit: maxEventBytes}
		}
		if err := e.cover(len(ev.Data)); err != nil {
			return Event{}, err
		}
	}
}

// Buffered reports whether more bytes can be read without blocking.
func (e *EventReader) Buffered() bool { return e.r.Buffered() > 0 }

func appendData(data, line []byte, more bool) []byte {
	if more {
		data = append(data, '\n')
	}
	return append(data, bytes.TrimPrefix(line[len("data:"):], []byte(" "))...)
}

// readLine returns a line without its line ending. The bytes are valid until
// the next call. The event has that much data already.
func (e *EventReader) readLine(data int) ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.r.ReadSlice('\n')
		if err == nil && len(e.line) == 0 {
			return trimEOL(part), nil
		}
		e.line = append(e.line, part...)
		switch {
		case err == nil:
			return trimEOL(e.line), nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(e.line) > maxEventBytes:
			return nil, &TooLargeError{limit: maxEventBytes}
		}
		if err := e.cover(data); err != nil {
			return nil, err
		}
	}
}

func trimEOL(line []byte) []byte {
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
}

// IDError reports an event id that is not "request/offset".
type IDError struct{ id string }

// ID returns the id.
func (e *IDError) ID() string { return e.id }

// Error implements error.
func (e *IDError) Error() string { return "event id " + strconv.Quote(e.id) + ": want request/offset" }

func parseID(id []byte) (request string, offset int, err error) {
	i := bytes.LastIndexByte(id, '/')
	if i < 0 {
		return "", 0, &IDError{id: string(id)}
	}
	offset, err = strconv.Atoi(string(id[i+1:]))
	if err != nil || offset < 0 {
		return "", 0, &IDError{id: string(id)}
	}
	return string(id[:i]), offset, nil
}
