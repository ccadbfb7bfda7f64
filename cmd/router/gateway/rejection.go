package gateway

import (
	"net/http"
	"strconv"
	"time"
)

// rejection is an error response of the router itself.
type rejection struct {
	status     int
	reason     string
	retryAfter time.Duration
	cause      error
}

// reject writes an error response of the router itself. The statuses 503 and 429
// promise that no target has executed the request.
func (t *transaction) reject(r *rejection) {
	t.logEnd(r.status, r.reason, r.cause)
	if t.r.Context().Err() != nil && r.status != http.StatusRequestTimeout {
		// The caller has disconnected. Returning would send an empty 200.
		panic(http.ErrAbortHandler)
	}
	h := t.w.Header()
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 2, 64))
	}
	if id := t.req.ID(); id != "" {
		t.req.Echo(h)
	}
	h.Set("Content-Type", "text/plain")
	t.w.WriteHeader(r.status)
	if _, err := t.w.Write([]byte(http.StatusText(r.status) + ": " + r.reason + "\n")); err != nil {
		t.g.log.Debug("caller disconnected before it was rejected", "request", t.req.ID(), "error", err)
	}
}

// fail ends the request after its last attempt. If a target may have executed
// it, the status is 502 or 504, never one that promises that nothing was run.
func (t *transaction) fail(r *rejection) {
	if t.responseStarted {
		t.abort(r.reason, r.cause)
	}
	if t.mayHaveRun {
		r.retryAfter = 0
		r.status = http.StatusBadGateway
		if !t.g.clock.Now().Before(t.deadline) {
			r.status = http.StatusGatewayTimeout
			r.reason = "timeout"
		}
	}
	t.reject(r)
}

// abort closes the connection in the middle of a response, so that the caller
// does not take it for complete.
func (t *transaction) abort(reason string, cause error) {
	t.logEnd(http.StatusOK, "broken off: "+reason, cause)
	panic(http.ErrAbortHandler)
}
