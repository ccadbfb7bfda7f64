package courier

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// httpStream is a Stream over an HTTP response. A timer cancels the request
// when nothing is received for the idle timeout.
type httpStream struct {
	body        io.ReadCloser
	reader      *EventReader
	cancel      context.CancelFunc
	idleTimeout time.Duration
	timer       *time.Timer
	timedOut    atomic.Bool
}

// newHTTPStream returns a stream that owns the body. The function cancel aborts
// the request. firstTimeout applies until the first byte.
func newHTTPStream(body io.ReadCloser, cancel context.CancelFunc, firstTimeout, idleTimeout time.Duration) *httpStream {
	s := &httpStream{body: body, cancel: cancel, idleTimeout: idleTimeout}
	s.timer = time.AfterFunc(firstTimeout, s.expire)
	return s
}

// events sets the request and the offset of the first event, and returns s.
func (s *httpStream) events(request string, offset int) *httpStream {
	s.reader = NewEventReader(&activityReader{r: s.body, stream: s}, request, offset)
	return s
}

func (s *httpStream) expire() {
	s.timedOut.Store(true)
	s.cancel()
}

// Next implements Stream.
func (s *httpStream) Next() (Event, error) {
	ev, err := s.reader.Next()
	if err == nil {
		return ev, nil
	}
	if s.timedOut.Load() {
		return Event{}, &IdleTimeoutError{timeout: s.idleTimeout}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = io.EOF
	}
	return Event{}, err
}

// Buffered reports whether at least a part of the next event was received.
func (s *httpStream) Buffered() bool { return s.reader.Buffered() }

// Close implements Stream.
func (s *httpStream) Close() {
	s.timer.Stop()
	s.cancel()
	_ = s.body.Close()
}

// activityReader restarts the idle timer of a stream whenever bytes are
// received, also those of comments.
type activityReader struct {
	r      io.Reader
	stream *httpStream
}

// Read implements io.Reader.
func (a *activityReader) Read(b []byte) (int, error) {
	n, err := a.r.Read(b)
	if n > 0 && !a.stream.timedOut.Load() {
		a.stream.timer.Reset(a.stream.idleTimeout)
	}
	return n, err
}
