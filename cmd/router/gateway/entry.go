package gateway

import (
	"net/http"
	"time"

	"vanillalug.example/plan"
	"vanillalug.example/platform"
)

const (
	// defaultTimeout is for requests without a timeout on a route without one.
	defaultTimeout = 30 * time.Second
	// notReadyRetryAfter is the Retry-After of a router without a routing table.
	notReadyRetryAfter = 700 * time.Millisecond
)

// ServeHTTP implements http.Handler. It forwards the request to a target and
// writes the response, or rejects it.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.newTransaction(w, r).serve()
}

func (g *Gateway) newTransaction(w http.ResponseWriter, r *http.Request) *transaction {
	return &transaction{g: g, w: w, r: r, req: platform.ReadRequest(r), start: g.clock.Now()}
}

// serve forwards the request to a target and writes the response, or rejects it.
func (t *transaction) serve() {
	t.g.inFlight.Add(1)
	defer t.g.inFlight.Add(-1)
	if t.g.draining.Load() || len(t.r.TransferEncoding) > 0 {
		// Don't reuse the connection after a chunked body: a request that also
		// has a Content-Length could smuggle a second one behind the body.
		t.w.Header().Set("Connection", "close")
	}
	if rejected := t.admit(); rejected != nil {
		t.reject(rejected)
		return
	}
	t.proxy()
}

// admit classifies the request and reads the body. It returns a rejection if the
// request must not be forwarded, or nil.
func (t *transaction) admit() *rejection {
	if rejected := t.classify(); rejected != nil {
		return rejected
	}
	return t.readBody()
}

// classify matches the route, authenticates the workspace and selects the service. It
// changes nothing but the transaction, and returns a rejection if the request must not
// be forwarded, or nil.
func (t *transaction) classify() *rejection {
	active := t.g.table.Load()
	if active == nil || !t.g.mayServe() {
		return &rejection{status: http.StatusServiceUnavailable, reason: "no routing table yet", retryAfter: notReadyRetryAfter}
	}
	t.table = active.table
	if limit := t.table.Limits().HeaderBytes(); limit > 0 && t.req.HeadBytes() > limit {
		return &rejection{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large"}
	}
	route, ok := t.table.Match(t.req.Host(), t.req.Path())
	if !ok {
		return &rejection{status: http.StatusNotFound, reason: "no route"}
	}
	t.route = route
	t.priority = route.Priority()
	if t.table.RequiresKey() && !route.Public() {
		workspace, ok := t.table.WorkspaceByKey(t.req.APIKey())
		if !ok {
			return &rejection{status: http.StatusUnauthorized, reason: "unknown key"}
		}
		t.workspace = workspace.Name()
		t.priority = workspace.Priority(route)
	}
	t.service = route.Pick(hashOf(t.req.ID()))
	t.deadline = t.start.Add(timeoutOf(route, t.req))
	return nil
}

// timeoutOf returns the time limit for the response: the shorter of the
// request's and the route's.
func timeoutOf(route *plan.Route, req *platform.Request) time.Duration {
	timeout := req.Timeout()
	if timeout == 0 || route.Timeout() > 0 && route.Timeout() < timeout {
		timeout = route.Timeout()
	}
	if timeout == 0 {
		return defaultTimeout
	}
	return timeout
}
