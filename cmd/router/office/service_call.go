package office

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"vanillalug.example"
	"vanillalug.example/allowance"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/dispatch"
)

// Call is a caller's call to an application service.
type Call struct {
	Workspace      vanillalug.Workspace
	Service        vanillalug.Service
	Method         string
	Path           string
	Query          string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// Response is the response to a call. Replayed means that it is the recorded outcome
// of an earlier call with the same idempotency key.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool
	// BodyLeftOut says that there was no memory for the body.
	BodyLeftOut bool
}

// ServeCall sends a call to a worker of its service and returns the response or a
// problem.
func (r *Router) ServeCall(ctx context.Context, c Call) (Response, *vanillalug.Problem) {
	if p := r.checkReady(); p != nil {
		return Response{}, p
	}
	kind := "service " + c.Service.Name()
	if p := r.stopsBefore(kind, c.Service.Deadline()); p != nil {
		return Response{}, p
	}
	if !r.inFlight.begin(c.Workspace.Name(), c.Workspace.InFlightLimit(), r.opts.maxInFlight) {
		return Response{}, tooManyRequests()
	}
	defer r.inFlight.end(c.Workspace.Name())
	start := r.clock.Now()
	ctx, done := context.WithTimeout(ctx, c.Service.Deadline())
	defer done()
	var a Response
	var p *vanillalug.Problem
	if c.Service.Retryable(c.Method, c.Path) {
		a, p = r.callIdempotent(ctx, c)
	} else {
		a, p = r.callNonIdempotent(ctx, c)
	}
	if p == nil {
		r.durations.Observe(kind, r.clock.Now().Sub(start))
		meter.ResponseTime(c.Workspace.Name(), c.Service.Name(), r.clock.Now().Sub(start))
	}
	return a, p
}

// callIdempotent sends an idempotent call and retries it after failures as far as
// the retry budget allows.
func (r *Router) callIdempotent(ctx context.Context, c Call) (Response, *vanillalug.Problem) {
	r.budget.Deposit(c.Workspace.Name(), r.Fleet().RetryRatio())
	tried := map[string]bool{}
	var mayHaveRun error
	for attempt := 0; ; attempt++ {
		t, ok := r.pickWorker(c.Service.Name(), tried)
		if !ok && mayHaveRun != nil {
			return Response{}, r.callFailedProblem(mayHaveRun)
		}
		if !ok {
			return Response{}, r.noWorkerProblem(c)
		}
		tried[t.Name()] = true
		a, err := r.sendCall(ctx, t, c, false, nil)
		if err == nil {
			return a, nil
		}
		if !isUnsent(err) {
			mayHaveRun = err
		}
		meter.Count("service_failures", "target", t.Name())
		if ctx.Err() != nil || attempt >= maxAttempts-1 || !r.budget.Withdraw(c.Workspace.Name()) {
			return Response{}, r.callFailedProblem(err)
		}
		meter.Count("retries", "result", "sent")
		select {
		case <-time.After(allowance.Backoff(attempt, rand.Float64())):
		case <-ctx.Done():
			return Response{}, r.callFailedProblem(ctx.Err())
		}
	}
}

func (r *Router) sendCall(ctx context.Context, t vanillalug.Target, c Call, atMostOnce bool, beforeSend func() error) (Response, error) {
	defer r.targets.begin(t.Name())()
	w, err := r.calls.Call(r.whileInUse(ctx, t.Place()), t.Address(), courier.ServiceCall{
		Method: c.Method, Path: c.Path, Query: c.Query, Header: c.Header, Body: c.Body,
		Workspace: c.Workspace.Name(), Key: c.IdempotencyKey, AtMostOnce: atMostOnce, BeforeSend: beforeSend,
	})
	if err != nil {
		return Response{}, err
	}
	return Response{Status: w.Status, Header: w.Header, Body: w.Body, BodyLeftOut: w.BodyLeftOut}, nil
}

// pickWorker picks the less loaded of two random workers that accept new calls,
// preferring those that were not tried.
func (r *Router) pickWorker(service string, tried map[string]bool) (vanillalug.Target, bool) {
	var candidates, alreadyTried []vanillalug.Target
	f := r.Fleet()
	for _, t := range f.TargetsFor(service) {
		switch {
		case t.Leaving() || f.Evacuated(t.Place()) || r.workerCondition(t.Name()) != dispatch.Up:
		case tried[t.Name()]:
			alreadyTried = append(alreadyTried, t)
		default:
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		candidates = alreadyTried
	}
	if len(candidates) == 0 {
		return vanillalug.Target{}, false
	}
	a, b := candidates[rand.IntN(len(candidates))], candidates[rand.IntN(len(candidates))]
	if r.targets.requestsInFlight(b.Name()) < r.targets.requestsInFlight(a.Name()) {
		return b, true
	}
	return a, true
}

func (r *Router) workerCondition(name string) dispatch.Condition {
	if r.targets.isLeaving(name) {
		return dispatch.Leaving
	}
	return r.loads.Condition(name, r.clock.Now())
}

func (r *Router) noWorkerProblem(c Call) *vanillalug.Problem {
	if r.Fleet().ServiceEvacuated(c.Service.Name()) {
		return r.evacuatedProblem("service " + c.Service.Name())
	}
	return vanillalug.NewProblem(http.StatusServiceUnavailable, "no-target",
		"no worker of service "+c.Service.Name()+" takes new work",
		vanillalug.WithRetryAfter(r.jitter(retryAfter)))
}

func (r *Router) callFailedProblem(err error) *vanillalug.Problem {
	state := vanillalug.RunUnknown
	if isUnsent(err) {
		state = vanillalug.NotRun
	}
	status := http.StatusBadGateway
	if errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	return vanillalug.NewProblem(status, "target-failed", "the call failed; it may be repeated",
		vanillalug.WithRunState(state), vanillalug.WithRetryAfter(r.jitter(retryAfter)))
}

func isUnsent(err error) bool {
	var unsent *courier.UnsentError
	return errors.As(err, &unsent)
}
