package courier

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// httpStream is a Stream over an HTTP response. A timer closes the connection
// when nothing comes for the idle bound.
type httpStream struct {
	body   io.ReadCloser
	reader *EventReader
	cancel context.CancelFunc
	idle   time.Duration
	timer  *time.Timer
	silent atomic.Bool
}

// newHTTPStream takes over the body. Cancel ends the request. The first bound
// holds until the first byte.
func newHTTPStream(body io.ReadCloser, cancel context.CancelFunc, first, idle time.Duration) *httpStream {
	s := &httpStream{body: body, cancel: cancel, idle: idle}
	s.timer = time.AfterFunc(first, s.expire)
	return s
}

// events starts to read the events of a request from an offset on.
func (s *httpStream) events(request string, offset int) *httpStream {
	s.reader = NewEventReader(&aliveReader{r: s.body, stream: s}, request, offset)
	return s
}

func (s *httpStream) expire() {
	s.silent.Store(true)
	s.cancel()
}

// Next implements Stream.
func (s *httpStream) Next() (Event, error) {
	ev, err := s.reader.Next()
	if err == nil {
		return ev, nil
	}
	if s.silent.Load() {
		return Event{}, &IdleTimeoutError{bound: s.idle}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = io.EOF
	}
	return Event{}, err
}

// Buffered reports whether the next event is here already, in part at least.
func (s *httpStream) Buffered() bool { return s.reader.Buffered() }

// Close implements Stream.
func (s *httpStream) Close() {
	s.timer.Stop()
	s.cancel()
	_ = s.body.Close()
}

// aliveReader restarts the idle timer of a stream with every byte that comes,
// comments included.
type aliveReader struct {
	r      io.Reader
	stream *httpStream
}

// Read implements io.Reader.
func (a *aliveReader) Read(b []byte) (int, error) {
	n, err := a.r.Read(b)
	if n > 0 && !a.stream.silent.Load() {
		a.stream.timer.Reset(a.stream.idle)
	}
	return n, err
}
