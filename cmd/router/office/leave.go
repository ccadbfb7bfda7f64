package office

import (
	"context"
	"time"

	"vanillalug.example/roster"
)

const leavePoll = 50 * time.Millisecond

// Drain takes the router out of service: it is not ready any more, tells its
// peers, hands on what it admits for and waits until every request is
// finished, at most until the context ends. It reports whether all finished.
func (o *Router) Drain(ctx context.Context, balancer time.Duration) bool {
	if o.leaving.Swap(true) {
		<-ctx.Done()
		return false
	}
	o.log.Info("leaving", "open-requests", o.open.total())
	o.tell(roster.Leave{})
	for _, p := range o.posts.all() {
		go o.handOver(p)
	}
	if !wait(ctx, balancer) {
		return false
	}
	finished := waitUntil(ctx, func() bool {
		return o.open.total() == 0 && o.journal.pendingRows() == 0
	})
	o.tell(roster.Left{})
	return finished
}

// wait reports whether the time passed before the context ended.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// waitUntil waits for the condition until the context ends. It reports whether
// the condition holds.
func waitUntil(ctx context.Context, condition func() bool) bool {
	for !condition() {
		if !wait(ctx, leavePoll) {
			return condition()
		}
	}
	return true
}
