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
// another target may be tried instead.
func (t *transaction) handleResponse(ctx context.Context, u *upstream, o responded, onFirstEvent func()) bool {
	t.mayHaveRun = true
	if t.mayStream(o) {
		return t.streamEvents(ctx, u, o, onFirstEvent)
	}
	onFirstEvent()
	if t.responseStarted {
		return t.handleNoStream(u, o)
	}
	body, whole, err := t.bufferResponse(o.response)
	if !whole {
		t.streamBody(o, body)
		return false
	}
	t.releaseConn(o, err)
	if err != nil {
		return t.handleNoResponse(ctx, u, noResponse{cause: fmt.Errorf("body: %w", err), begun: true})
	}
	if o.meta.Status() >= http.StatusInternalServerError {
		t.recordFailure(u, responseFailureWeight)
		if t.route.Retryable() && t.mayRetry() {
			t.detail = "status " + strconv.Itoa(o.meta.Status())
			t.logAttempt("target failed", nil)
			return true
		}
	} else {
		t.completed = true
		t.observeServed(o.meta.Status())
		t.recordSuccess(u)
		if !o.meta.ImpliesNotRun() {
			t.recordSound()
		}
	}
	if o.meta.ImpliesNotRun() {
		// Callers take this status to mean that the request was not executed,
		// which the target did not state.
		t.detail = "status " + strconv.Itoa(o.meta.Status())
		t.reject(&rejection{status: http.StatusBadGateway, reason: "target failed without saying that it did not run the request"})
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
// part of the body that was read already.
func (t *transaction) streamBody(o responded, prefix []byte) {
	t.dropBody()
	h := t.w.Header()
	t.copyHeaders(o)
	if o.response.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(o.response.ContentLength, 10))
	}
	t.w.WriteHeader(o.meta.Status())
	_, err := t.w.Write(prefix)
	if err == nil {
		reception.ReleaseResponse(t.r, len(prefix))
		_, err = io.Copy(t.w, o.response.Body)
	}
	t.releaseConn(o, err)
	if err != nil {
		t.abort("body", err)
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
