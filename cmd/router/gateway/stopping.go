package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/notice"
)

const (
	// stoppingRetryAfter is the Retry-After of a router that stops: others serve the request.
	stoppingRetryAfter = 50 * time.Millisecond
	// finalResponseTime is how long before the router stops the requests that are still open get a
	// final response.
	finalResponseTime = 150 * time.Millisecond
)

// stopping is when the router will stop, and what it knows to decide which requests can end before.
type stopping struct {
	// at is when; nil if the router isn't shutting down.
	at        atomic.Pointer[time.Time]
	durations *notice.Durations
	// ended is done when the requests that are still open get a final response.
	ended context.Context
	end   context.CancelFunc
}

func newStopping() stopping {
	ended, end := context.WithCancel(context.Background())
	return stopping{durations: notice.NewDurations(), ended: ended, end: end}
}

// StopBy tells the router that is shutting down when the process will end. Requests that would take
// longer are refused from now on.
func (g *Gateway) StopBy(at time.Time) {
	last := at.Add(-finalResponseTime)
	g.stopping.at.Store(&last)
	time.AfterFunc(last.Sub(g.clock.Now()), g.stopping.end)
}

// stopsBefore reports whether the router is expected to stop before the request can end.
func (t *transaction) stopsBefore() bool {
	at := t.g.stopping.at.Load()
	if at == nil || t.responseStarted {
		return false
	}
	durations := t.g.stopping.durations
	upper := durations.Upper(t.route.Name())
	if upper == 0 {
		upper = durations.Upper(t.serviceKind())
	}
	now := t.g.clock.Now()
	return !notice.Accepts(at.Sub(now), upper, t.deadline.Sub(now))
}

// observeDuration records how long a request took that was served.
func (t *transaction) observeDuration(took time.Duration) {
	t.g.stopping.durations.Observe(t.route.Name(), took)
	t.g.stopping.durations.Observe(t.serviceKind(), took)
}

// serviceKind stands for all routes of one kind to a service.
func (t *transaction) serviceKind() string { return t.service + " " + t.route.Kind().String() }

// rejectStopping returns a rejection if the router stops before the request can end, or nil. A peer
// that relayed it relays it to another router.
func (t *transaction) rejectStopping() *rejection {
	if !t.stopsBefore() {
		return nil
	}
	if t.relayedBy != "" && !t.mayHaveRun {
		t.w.Header().Set(unreachableHeader, "1")
	}
	return &rejection{status: http.StatusServiceUnavailable, reason: "router is shutting down", retryAfter: stoppingRetryAfter}
}

// refusedMeanwhile means that the request has to be refused, as it has waited for a connection: the
// router stops before it can end, or it was found to crash targets.
type refusedMeanwhile struct{}

func (refusedMeanwhile) outcome() {}

// checkRefusal reports whether the request may still be sent on the connection, which is kept for
// others otherwise.
func (t *transaction) checkRefusal(conn *channel.Conn) bool {
	if t.stopsBefore() || t.blockedMeanwhile() {
		t.keepUnused(conn)
		return false
	}
	return true
}
