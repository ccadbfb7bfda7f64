package office

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"vanillalug.example"
)

// retryAfter is when callers may come back after a passing trouble.
const retryAfter = 2 * time.Second

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
func (r *Router) ServeChat(ctx context.Context, q ChatRequest, sink Sink) *vanillalug.Problem {
	f := r.Fleet()
	if p := r.checkReady(); p != nil {
		return p
	}
	if !r.inFlight.begin(q.Workspace.Name(), q.Workspace.OpenLimit(), r.opts.maxInFlight) {
		return tooManyRequests()
	}
	defer r.inFlight.end(q.Workspace.Name())
	r.budget.Deposit(q.Workspace.Name(), f.RetryShare())
	t := newTransaction(r, f, q, sink)
	return t.run(ctx)
}

func (r *Router) checkReady() *vanillalug.Problem {
	ok, why := r.Ready()
	if ok || r.draining.Load() && r.register.Ready() {
		return nil
	}
	return vanillalug.NewProblem(http.StatusServiceUnavailable, "router-not-ready", why,
		vanillalug.WithRetryAfter(r.jitter(retryAfter)))
}

// jitter adds up to as much again, so that callers do not return together.
func (r *Router) jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*float64(d))
}

func tooManyRequests() *vanillalug.Problem {
	return vanillalug.NewProblem(http.StatusTooManyRequests, "too-many-open-requests",
		"the workspace has too many requests open at this router",
		vanillalug.WithRetryAfter(time.Second))
}
