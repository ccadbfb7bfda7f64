package courier

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
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
}

// NewEventReader returns a reader. Events without an id get the request, and
// the first of them the offset.
func NewEventReader(r io.Reader, request string, offset int) *EventReader {
	return &EventReader{r: bufio.NewReaderSize(r, readBufferBytes), request: request, offset: offset}
}

const readBufferBytes = 512

// Next returns the next event that has data. It returns io.EOF at the end; a
// truncated event is dropped.
func (e *EventReader) Next() (Event, error) {
	ev := Event{Request: e.request, Offset: e.offset}
	hasData := false
	for {
		line, err := e.readLine()
		if err != nil {
			return Event{}, err
		}
		switch {
		case len(line) == 0 && hasData:
			if ev.Name == "" {
				e.offset = ev.Offset + 1
			}
			ev.End = bytes.Equal(ev.Data, doneData)
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
// the next call.
func (e *EventReader) readLine() ([]byte, error) {
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
