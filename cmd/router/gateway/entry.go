package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"vanillalug.example/plan"
	"vanillalug.example/platform"
)

const (
	// defaultWait is for callers that say no deadline on a route without one.
	defaultWait = 30 * time.Second
	// notReadyRetry is when a caller may come back to a router that has not
	// read its routing table yet.
	notReadyRetry = 700 * time.Millisecond
)

// ServeHTTP takes a caller's request through to its answer.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	t := &trip{g: g, w: w, r: r, req: platform.ReadRequest(r), start: g.clock.Now()}
	if g.stopping.Load() || len(r.TransferEncoding) > 0 {
		// After a chunked body the connection is not used again: a head that
		// also states a length could hide a second request behind the body.
		w.Header().Set("Connection", "close")
	}
	if p := t.admit(); p != nil {
		t.refuse(p)
		return
	}
	t.run()
}

// admit finds the route and the workspace and reads the body. It returns why
// the request goes no further, or nil.
func (t *trip) admit() *refusal {
	now := t.g.plan.Load()
	if now == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no routing table yet", retryAfter: notReadyRetry}
	}
	t.plan = now.plan
	if limit := t.plan.Limits().HeaderBytes(); limit > 0 && t.req.HeadBytes() > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large"}
	}
	route, ok := t.plan.Match(t.req.Host(), t.req.Path())
	if !ok {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	t.route = route
	t.priority = route.Priority()
	if t.plan.RequiresKey() && !route.Public() {
		workspace, ok := t.plan.WorkspaceByKey(t.req.APIKey())
		if !ok {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
		}
		t.workspace = workspace.Name()
		t.priority = workspace.Priority(route)
	}
	t.service = route.Pick(hashOf(t.req.ID()))
	t.deadline = t.start.Add(waitOf(route, t.req))
	return t.readBody()
}

// waitOf returns how long the answer may take.
func waitOf(route *plan.Route, req *platform.Request) time.Duration {
	wait := req.Timeout()
	if wait == 0 || route.Timeout() > 0 && route.Timeout() < wait {
		wait = route.Timeout()
	}
	if wait == 0 {
		return defaultWait
	}
	return wait
}

func (t *trip) readBody() *refusal {
	if t.r.ContentLength == 0 {
		return nil
	}
	limit := t.plan.Limits().BodyBytes()
	if limit > 0 && t.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	in := io.Reader(t.r.Body)
	if limit > 0 {
		in = http.MaxBytesReader(t.w, t.r.Body, limit)
	}
	reads := http.NewResponseController(t.w)
	if err := reads.SetReadDeadline(t.deadline); err != nil {
		t.g.log.Debug("cannot limit reads from a caller", "request", t.req.ID(), "error", err)
	}
	body, err := readAll(in, t.r.ContentLength)
	if err == nil {
		err = reads.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		t.w.Header().Set("Connection", "close")
		return &refusal{status: http.StatusRequestTimeout, reason: "body not sent in time", cause: err}
	}
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "body broken off", cause: err}
	}
	t.body = body
	return nil
}

// readAll reads a body of the length, or to its end if the length is not known.
func readAll(in io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(in)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(in, body)
	return body, err
}
