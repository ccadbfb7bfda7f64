package office

import (
	"context"
	"net/http"
	"time"

	"vanillalug.example"
	"vanillalug.example/notice"
	"vanillalug.example/roster"
)

const (
	drainPollInterval = 50 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a router that stops: others serve the request.
	stoppingRetryAfter = 100 * time.Millisecond
)

// Drain takes the router out of service: it reports not ready, notifies its peers,
// hands over the engines that it admits for and waits until every request is
// finished or the context ends. It waits at least for the duration that the load
// balancer needs to stop sending requests. It reports whether all requests
// finished.
func (r *Router) Drain(ctx context.Context, balancerDelay time.Duration) bool {
	if at, limited := ctx.Deadline(); limited {
		r.stopAt.CompareAndSwap(nil, &at)
	}
	if r.draining.Swap(true) {
		<-ctx.Done()
		return false
	}
	r.log.Info("leaving", "open-requests", r.inFlight.total())
	r.notifyPeers(roster.Leave{})
	for _, es := range r.engineStates.all() {
		go r.handOver(es)
	}
	if !wait(ctx, balancerDelay) {
		return false
	}
	finished := waitUntil(ctx, func() bool {
		return r.inFlight.total() == 0 && r.journal.pendingRows() == 0
	})
	r.notifyPeers(roster.Left{})
	return finished
}

// stopsBefore returns a problem if the router will stop before a request can end, and nil otherwise.
// kind is that of the request, and limit the time that it has.
func (r *Router) stopsBefore(kind string, limit time.Duration) *vanillalug.Problem {
	at := r.stopAt.Load()
	if at == nil || notice.Accepts(at.Sub(r.clock.Now()), r.durations.Upper(kind), limit) {
		return nil
	}
	return vanillalug.NewProblem(http.StatusServiceUnavailable, "router-not-ready", "leaving",
		vanillalug.WithRetryAfter(stoppingRetryAfter))
}

// Draining reports whether the router is being taken out of service.
func (r *Router) Draining() bool { return r.draining.Load() }

// wait reports whether the duration passed before the context ended.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// waitUntil waits until the condition holds or the context ends. It reports whether
// the condition holds.
func waitUntil(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if !wait(ctx, drainPollInterval) {
			return condition()
		}
	}
	return true
}
