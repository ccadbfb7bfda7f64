package courier

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"vanillalug.example/reception"
)

// httpStream is a Stream over an HTTP response. A timer cancels the request
// when nothing is received for the idle timeout, and another when no event is
// complete for a longer time.
type httpStream struct {
	body        io.ReadCloser
	reader      *EventReader
	cancel      context.CancelFunc
	idleTimeout time.Duration
	timer       *time.Timer
	// receiving says that the first byte was received.
	receiving atomic.Bool
	// eventTimeout limits the time between two events; 0 is no limit.
	eventTimeout time.Duration
	eventTimer   *time.Timer
	// expired is the timeout that has passed, or 0.
	expired atomic.Int64
	// hold is what is charged to the caller for an event that isn't complete.
	hold *reception.Hold
}

// newHTTPStream returns a stream that owns the body. The function cancel aborts
// the request. firstTimeout applies until the first byte.
func newHTTPStream(body io.ReadCloser, cancel context.CancelFunc, firstTimeout, idleTimeout time.Duration) *httpStream {
	s := &httpStream{body: body, cancel: cancel, idleTimeout: idleTimeout, hold: reception.NewHold(context.Background())}
	s.timer = time.AfterFunc(firstTimeout, func() {
		if s.receiving.Load() {
			s.expire(idleTimeout)
			return
		}
		s.expire(firstTimeout)
	})
	return s
}

// limitEventGap limits the time without a complete event, and returns s: a stalled
// server may still send comments or single bytes.
func (s *httpStream) limitEventGap(d time.Duration) *httpStream {
	s.eventTimeout = d
	s.eventTimer = time.AfterFunc(d, func() { s.expire(d) })
	return s
}

// chargeTo charges long events to the caller's request to which the context belongs, and returns s.
func (s *httpStream) chargeTo(ctx context.Context) *httpStream {
	s.hold = reception.NewHold(ctx)
	return s
}

// events sets the request and the offset of the first event, and returns s.
func (s *httpStream) events(request string, offset int) *httpStream {
	s.reader = NewEventReader(&activityReader{r: s.body, stream: s}, request, offset)
	s.reader.hold = s.hold
	return s
}

func (s *httpStream) expire(timeout time.Duration) {
	s.expired.CompareAndSwap(0, int64(timeout))
	s.cancel()
}

// Next implements Stream.
func (s *httpStream) Next() (Event, error) {
	ev, err := s.reader.Next()
	if err == nil {
		if s.eventTimer != nil {
			s.eventTimer.Reset(s.eventTimeout)
		}
		return ev, nil
	}
	if timeout := time.Duration(s.expired.Load()); timeout > 0 {
		return Event{}, &IdleTimeoutError{timeout: timeout}
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		err = io.EOF
	}
	return Event{}, err
}

// Buffered reports whether at least a part of the next event was received.
func (s *httpStream) Buffered() bool { return s.reader.Buffered() }

// restartIdleTimer starts the idle timeout anew after bytes were received.
func (s *httpStream) restartIdleTimer() {
	s.receiving.Store(true)
	s.timer.Reset(s.idleTimeout)
}

// Close implements Stream.
func (s *httpStream) Close() {
	s.timer.Stop()
	if s.eventTimer != nil {
		s.eventTimer.Stop()
	}
	s.cancel()
	_ = s.body.Close()
	s.hold.Shrink(0)
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
	if n > 0 && a.stream.expired.Load() == 0 {
		a.stream.restartIdleTimer()
	}
	return n, err
}
