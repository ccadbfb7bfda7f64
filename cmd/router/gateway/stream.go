package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"vanillalug.example/cmd/router/meter"
)

// streamBuffer is the size of the buffer for events, in bytes.
const streamBuffer = 2 << 10

// stream sends events on as they come. A stream that breaks off goes on at
// another target where the route allows it.
func (t *trip) stream(ctx context.Context, p *post, o answered, first func()) bool {
	err := t.copyEvents(o, first)
	t.finish(o, err)
	if err == nil {
		t.begin(o)
		t.served = true
		t.praise(p)
		t.logEnd(o.answer.Status(), "answered", nil)
		return false
	}
	var caller *callerError
	if errors.As(err, &caller) || t.r.Context().Err() != nil {
		t.breakOff("caller is gone", err)
	}
	t.logAttempt("stream broke off", err)
	if ctx.Err() == nil {
		t.blame(p, answerWeight)
	}
	if t.route.Retryable() && t.mayRepeat() {
		return true
	}
	t.giveUp(&refusal{status: http.StatusBadGateway, reason: "stream broke off", cause: err})
	return false
}

// begin sends the head of the answer, once. Until then nothing of a target's
// answer is in the headers, as the answer may still become a failure of ours.
func (t *trip) begin(o answered) {
	if t.answering {
		return
	}
	t.answering = true
	meter.ObserveBy("first_event", t.elapsed(), "workspace", t.workspace, "kind", t.route.Kind().String())
	o.answer.CopyHeaders(t.w.Header())
	t.w.WriteHeader(o.answer.Status())
}

// callerError says that the caller can't be written to.
type callerError struct{ cause error }

// Error implements error.
func (e *callerError) Error() string { return "caller: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.cause }

// copyEvents sends whole events on until the end of the stream. An event that
// is not whole is dropped.
func (t *trip) copyEvents(o answered, first func()) error {
	flush := http.NewResponseController(t.w)
	events := newEventBuffer(streamBuffer)
	for {
		n, err := o.response.Body.Read(events.room())
		whole := events.add(n)
		if len(whole) > 0 {
			first()
			t.begin(o)
			if _, err := t.w.Write(whole); err != nil {
				return &callerError{cause: err}
			}
			if err := flush.Flush(); err != nil {
				return &callerError{cause: err}
			}
			if id := lastID(whole); id != "" {
				t.lastEvent = id
			}
			events.drop(len(whole))
		}
		if errors.Is(err, io.EOF) {
			if events.pending() > 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}
