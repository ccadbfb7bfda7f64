package gateway

import "net/http"

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
