package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"vanillalug.example/plan"
	"vanillalug.example/reception"
)

// maxBufferedBody is the largest body that is buffered before it is sent to the
// caller, in bytes; a longer one is streamed.
const maxBufferedBody = 1 << 20

// handleResponse sends a target's response to the caller. It returns true if
// another target may be tried instead. promptRead is called when the target has read the prompt.
func (t *transaction) handleResponse(ctx context.Context, u *upstream, o responded, promptRead func()) bool {
	t.mayHaveRun = true
	if t.mayStream(o) {
		return t.streamEvents(ctx, u, o, promptRead)
	}
	promptRead()
	if t.responseStarted {
		return t.handleNoStream(u, o)
	}
	body, whole, err := t.bufferResponse(o.response)
	if whole {
		t.releaseConn(o, err)
	}
	if err != nil {
		return t.handleNoResponse(ctx, u, noResponse{cause: fmt.Errorf("body: %w", err), begun: true})
	}
	if failed(o) {
		return t.handleFailed(ctx, u, o, body, whole)
	}
	if !whole {
		t.streamBody(ctx, u, o, body)
		return false
	}
	t.completed = true
	t.observeServed(o.meta.Status())
	t.recordSuccess(u)
	t.recordSound()
	t.writeResponse(o, body)
	return false
}

// failed reports whether a response is a failure of the target. One with a status which callers take to mean that
// the request was not executed is too, as the target did not state that.
func failed(o responded) bool {
	return o.meta.Status() >= http.StatusInternalServerError || o.meta.ImpliesNotRun()
}

// handleFailed handles a failure, of which body was read. It returns true if another target may be tried.
func (t *transaction) handleFailed(ctx context.Context, u *upstream, o responded, body []byte, whole bool) bool {
	t.recordFailure(u, responseFailureWeight)
	if t.route.Retryable() && t.mayRetry() {
		t.dropPart(o, body, whole)
		t.detail = "status " + strconv.Itoa(o.meta.Status())
		t.logAttempt("target failed", nil)
		return true
	}
	if o.meta.ImpliesNotRun() {
		t.dropPart(o, body, whole)
		t.detail = "status " + strconv.Itoa(o.meta.Status())
		t.reject(&rejection{status: http.StatusBadGateway, reason: "target failed without saying that it did not run the request"})
		return false
	}
	if !whole {
		t.streamBody(ctx, u, o, body)
		return false
	}
	t.writeResponse(o, body)
	return false
}

// mayStream reports whether the body of a response is forwarded as events: one that goes on with a stream
// must be of the type that began it.
func (t *transaction) mayStream(o responded) bool {
	if t.route.Kind() != plan.Streaming || o.meta.Status() != http.StatusOK {
		return false
	}
	return !t.responseStarted || o.response.Header.Get("Content-Type") == t.streamType
}

// handleNoStream handles a response that is no stream when one has begun: nothing of it may reach the
// caller. It returns true if another target may be tried.
func (t *transaction) handleNoStream(u *upstream, o responded) bool {
	if o.meta.Status() >= http.StatusInternalServerError {
		t.recordFailure(u, responseFailureWeight)
	}
	if t.route.Retryable() && t.mayRetry() {
		t.dropResponse(o)
		t.detail = "status " + strconv.Itoa(o.meta.Status())
		t.logAttempt("target failed", nil)
		return true
	}
	t.breakOff(o, "target failed")
	return false
}

// breakOff ends a stream that has begun, as the response that should go on with it is none.
func (t *transaction) breakOff(o responded, reason string) {
	t.dropResponse(o)
	t.detail = "status " + strconv.Itoa(o.meta.Status())
	t.abort(reason, nil)
}

// dropPart gives up a response of which body was read, and closes its connection unless that is the whole.
func (t *transaction) dropPart(o responded, body []byte, whole bool) {
	reception.ReleaseResponse(t.r, cap(body))
	if !whole {
		t.dropResponse(o)
	}
}

// dropResponse closes the connection of a response whose body isn't read.
func (t *transaction) dropResponse(o responded) {
	o.stopWatch()
	o.conn.Discard()
}

// writeResponse sends a buffered response to the caller.
func (t *transaction) writeResponse(o responded, body []byte) {
	t.dropBody()
	h := t.w.Header()
	t.copyHeaders(o)
	if bodyAllowed(t.req.Method(), o.meta.Status()) {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	t.w.WriteHeader(o.meta.Status())
	_, err := t.w.Write(body)
	t.logEnd(o.meta.Status(), "answered", err)
}

// streamBody sends a long response to the caller as it arrives. prefix is the
// part of the body that was read already. u is nil if a peer relays the response.
func (t *transaction) streamBody(ctx context.Context, u *upstream, o responded, prefix []byte) {
	t.dropBody()
	h := t.w.Header()
	t.copyHeaders(o)
	if o.response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(o.response.ContentLength, 10))
	}
	t.w.WriteHeader(o.meta.Status())
	_, err := callerWriter{t.w}.Write(prefix)
	if err == nil {
		reception.ReleaseResponse(t.r, len(prefix))
		_, err = io.Copy(callerWriter{t.w}, o.response.Body)
	}
	t.releaseConn(o, err)
	if err != nil {
		t.abortIfCallerGone(err)
		if u != nil && ctx.Err() == nil {
			t.recordFailure(u, responseFailureWeight)
			t.recordCrash(u, true, err)
		}
		t.abort("body", err)
	}
	if u != nil && !failed(o) {
		t.recordSuccess(u)
		t.recordSound()
	}
	t.logEnd(o.meta.Status(), "answered", nil)
}

// copyHeaders copies the headers of a response for the caller. A peer that relayed the request
// gets no header from the target that only routers may set.
func (t *transaction) copyHeaders(o responded) {
	h := t.w.Header()
	o.meta.CopyHeaders(h)
	if t.relayedBy == "" {
		return
	}
	h.Del(unreachableHeader)
	h.Del(leavingTargetHeader)
	if o.meta.Leaving() {
		h.Set(leavingTargetHeader, t.target)
	}
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}
