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

// retryAfterText returns the value of a Retry-After header.
func retryAfterText(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

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
		h.Set("Retry-After", retryAfterText(r.retryAfter))
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
