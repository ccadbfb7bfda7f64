package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"vanillalug.example/cmd/router/meter"
)

// eventBufferSize is the initial size of the buffer for events, in bytes.
const eventBufferSize = 2 << 10

// streamEvents forwards events as they arrive. It returns true if the stream
// broke off and may be resumed at another target.
func (t *transaction) streamEvents(ctx context.Context, u *upstream, o responded, promptRead func()) bool {
	err := t.copyEvents(u, o, func() {
		t.observePrefill()
		promptRead()
	})
	t.releaseConn(o, err)
	if err == nil {
		if t.responseStarted {
			t.recordSound()
		}
		t.startResponse(o)
		t.completed = true
		t.recordSuccess(u)
		t.logEnd(o.meta.Status(), "answered", nil)
		return false
	}
	t.abortIfCallerGone(err)
	if errors.Is(err, noMemoryError{}) {
		// It is no failure of the target.
		t.fail(&rejection{status: http.StatusBadGateway, reason: "stream broke off", cause: err})
		return false
	}
	t.logAttempt("stream broke off", err)
	mayResend := true
	if ctx.Err() == nil {
		t.recordFailure(u, responseFailureWeight)
		mayResend = t.recordCrash(u, true, err)
	}
	if mayResend && t.route.Retryable() && t.mayRetry() {
		return true
	}
	t.fail(&rejection{status: http.StatusBadGateway, reason: "stream broke off", cause: err})
	return false
}

// abortIfCallerGone ends the request if a stream ended because its caller has disconnected.
func (t *transaction) abortIfCallerGone(err error) {
	var caller *callerWriteError
	if errors.As(err, &caller) || t.r.Context().Err() != nil {
		t.abort("caller is gone", err)
	}
}

// startResponse sends the head of the response, once. The target's headers are
// not copied before, as the router may still send an error of its own.
func (t *transaction) startResponse(o responded) {
	if t.responseStarted {
		return
	}
	t.responseStarted = true
	t.streamType = o.response.Header.Get("Content-Type")
	meter.ObserveBy("first_event", t.elapsed(), "workspace", t.workspace, "kind", t.route.Kind().String())
	t.copyHeaders(o)
	t.w.WriteHeader(o.meta.Status())
}

// callerWriteError is returned when writing to the caller fails.
type callerWriteError struct{ cause error }

// Error implements error.
func (e *callerWriteError) Error() string { return "caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerWriteError) Unwrap() error { return e.cause }

// callerWriter writes to the caller. It returns a *callerWriteError.
type callerWriter struct{ w io.Writer }

// Write implements io.Writer.
func (c callerWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	if err != nil {
		return n, &callerWriteError{cause: err}
	}
	return n, nil
}

// copyEvents forwards complete events until the end of the stream. An incomplete
// event is dropped. u is nil if a peer relays the stream, and records where it began.
// onFirstEvent is called once, before the first events are forwarded.
func (t *transaction) copyEvents(u *upstream, o responded, onFirstEvent func()) error {
	events := newEventBuffer(eventBufferSize)
	held := heldEvents{t: t}
	defer held.release()
	empty := true
	for {
		free := events.free()
		if !held.cover(events) {
			return noMemoryError{}
		}
		n, err := o.response.Body.Read(free)
		complete := events.advance(n)
		if len(complete) > 0 {
			if empty {
				onFirstEvent()
			}
			empty = false
			t.observeEvents(complete)
			t.recordProgress(u, complete)
			t.recordOrigin(u)
			t.startResponse(o)
			if err := t.writeEvents(complete); err != nil {
				return err
			}
			t.observeWritten()
			events.consume(len(complete))
		}
		if events.pending() > maxEventSize {
			return eventTooLargeError{}
		}
		if errors.Is(err, io.EOF) && !cutOff(o, events, empty) {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
	}
}

// cutOff reports whether a body that has ended is incomplete: it ends inside an event, or
// it is empty and only the end of the connection ends it, as that of a target that crashes.
func cutOff(o responded, events *eventBuffer, empty bool) bool {
	return events.pending() > 0 || empty && o.endsWithConn()
}

// writeEvents sends complete events to the caller.
func (t *transaction) writeEvents(complete []byte) error {
	if _, err := (callerWriter{t.w}).Write(complete); err != nil {
		return err
	}
	if err := http.NewResponseController(t.w).Flush(); err != nil {
		return &callerWriteError{cause: err}
	}
	if id := lastID(complete); id != "" {
		t.lastEventID = id
	}
	return nil
}
