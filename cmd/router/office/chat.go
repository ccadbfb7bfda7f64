package office

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"vanillalug.example"
)

// retryAfter is the Retry-After of transient failures.
const retryAfter = 2 * time.Second

// maxChatTime is longer than any chat takes; chats have no deadline.
const maxChatTime = time.Hour

// ChatRequest is a chat request of a caller. Returning means that the chat has
// earlier turns.
type ChatRequest struct {
	Workspace vanillalug.Workspace
	Class     string
	Model     string
	Key       vanillalug.ChatKey
	Returning bool
	Body      []byte
	Version   uint64
}

// ServeChat streams the response to a chat request to the sink. It returns a problem
// if the response is incomplete; if chunks were delivered before, the run state
// of the problem is unknown.
func (r *Router) ServeChat(ctx context.Context, q ChatRequest, sink Sink) *vanillalug.Problem {
	f := r.Fleet()
	if p := r.checkReady(); p != nil {
		return p
	}
	kind, start := chatKind(q.Model), r.clock.Now()
	if p := r.stopsBefore(kind, maxChatTime); p != nil {
		return p
	}
	if !r.inFlight.begin(q.Workspace.Name(), q.Workspace.InFlightLimit(), r.opts.maxInFlight) {
		return tooManyRequests()
	}
	defer r.inFlight.end(q.Workspace.Name())
	r.budget.Deposit(q.Workspace.Name(), f.RetryRatio())
	p := newTransaction(r, f, q, sink).run(ctx)
	if p == nil {
		r.durations.Observe(kind, r.clock.Now().Sub(start))
	}
	return p
}

// chatKind stands for the chats with a model, whose durations are alike.
func chatKind(model string) string { return "model " + model }

func (r *Router) checkReady() *vanillalug.Problem {
	ok, why := r.Ready()
	if ok || r.draining.Load() && r.register.Ready() {
		return nil
	}
	return vanillalug.NewProblem(http.StatusServiceUnavailable, "router-not-ready", why,
		vanillalug.WithRetryAfter(r.jitter(retryAfter)))
}

// jitter adds a random duration of up to d, so that callers do not retry at the same
// time.
func (r *Router) jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Float64()*float64(d))
}

func tooManyRequests() *vanillalug.Problem {
	return vanillalug.NewProblem(http.StatusTooManyRequests, "too-many-open-requests",
		"the workspace has too many requests open at this router",
		vanillalug.WithRetryAfter(time.Second))
}
