package office

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"vanillalug.example"
)

// shortRetry is when callers may come back after a passing trouble.
const shortRetry = 2 * time.Second

// ChatRequest is a chat request of a caller.
type ChatRequest struct {
	Workspace vanillalug.Workspace
	Class     string
	Model     string
	Key       vanillalug.ChatKey
	Returning bool
	Body      []byte
	Version   uint64
}

// ServeChat streams the answer to a chat into the sink. It returns a problem
// when there is no whole answer; if pieces were delivered before, the run state
// of the problem is unknown.
func (o *Router) ServeChat(ctx context.Context, q ChatRequest, sink Sink) *vanillalug.Problem {
	f := o.Fleet()
	if p := o.unfit(); p != nil {
		return p
	}
	if !o.open.enter(q.Workspace.Name(), q.Workspace.InFlightLimit(), o.opts.maxOpen) {
		return tooManyOpen()
	}
	defer o.open.exit(q.Workspace.Name())
	o.budget.Deposit(q.Workspace.Name(), f.RetryRatio())
	t := newTrip(o, f, q, sink)
	return t.run(ctx)
}

func (o *Router) unfit() *vanillalug.Problem {
	ok, why := o.Ready()
	if ok || o.leaving.Load() && o.register.Ready() {
		return nil
	}
	return vanillalug.NewProblem(http.StatusServiceUnavailable, "router-not-ready", why,
		vanillalug.WithRetryAfter(o.spread(shortRetry)))
}

// spread adds up to as much again, so that callers do not return together.
func (o *Router) spread(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*float64(d))
}

func tooManyOpen() *vanillalug.Problem {
	return vanillalug.NewProblem(http.StatusTooManyRequests, "too-many-open-requests",
		"the workspace has too many requests open at this router",
		vanillalug.WithRetryAfter(time.Second))
}
