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

// Response is the answer to a call.
type Response struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool
}

// ServeCall brings a call to a worker of its service and returns the answer or
// a problem.
func (o *Router) ServeCall(ctx context.Context, c Call) (Response, *vanillalug.Problem) {
	if p := o.unfit(); p != nil {
		return Response{}, p
	}
	if !o.open.enter(c.Workspace.Name(), c.Workspace.InFlightLimit(), o.opts.maxOpen) {
		return Response{}, tooManyOpen()
	}
	defer o.open.exit(c.Workspace.Name())
	begun := o.clock.Now()
	ctx, done := context.WithTimeout(ctx, c.Service.Deadline())
	defer done()
	var a Response
	var p *vanillalug.Problem
	if c.Service.Retryable(c.Method, c.Path) {
		a, p = o.callRepeatable(ctx, c)
	} else {
		a, p = o.callOnce(ctx, c)
	}
	if p == nil {
		meter.ResponseTime(c.Workspace.Name(), c.Service.Name(), o.clock.Now().Sub(begun))
	}
	return a, p
}

// callRepeatable sends an idempotent call, again after failures as far as the
// retry budget allows.
func (o *Router) callRepeatable(ctx context.Context, c Call) (Response, *vanillalug.Problem) {
	o.budget.Deposit(c.Workspace.Name(), o.Fleet().RetryRatio())
	tried := map[string]bool{}
	for attempt := 0; ; attempt++ {
		t, ok := o.pickWorker(c.Service.Name(), tried)
		if !ok {
			return Response{}, o.noWorker(c)
		}
		tried[t.Name()] = true
		a, err := o.send(ctx, t, c, false, nil)
		if err == nil {
			return a, nil
		}
		meter.Count("service_failures", "target", t.Name())
		if ctx.Err() != nil || attempt >= maxAttempts-1 || !o.budget.Withdraw(c.Workspace.Name()) {
			return Response{}, o.callFailed(err)
		}
		meter.Count("retries", "result", "sent")
		select {
		case <-time.After(allowance.Backoff(attempt, rand.Float64())):
		case <-ctx.Done():
			return Response{}, o.callFailed(ctx.Err())
		}
	}
}

func (o *Router) send(ctx context.Context, t vanillalug.Target, c Call, once bool, before func() error) (Response, error) {
	defer o.targets.begin(t.Name())()
	w, err := o.calls.Call(ctx, t.Address(), courier.ServiceCall{
		Method: c.Method, Path: c.Path, Query: c.Query, Header: c.Header, Body: c.Body,
		Workspace: c.Workspace.Name(), Key: c.IdempotencyKey, AtMostOnce: once, BeforeSend: before,
	})
	if err != nil {
		return Response{}, err
	}
	return Response{Status: w.Status, Header: w.Header, Body: w.Body}, nil
}

// pickWorker picks the less loaded of two random workers that take new work,
// preferring those that were not tried.
func (o *Router) pickWorker(service string, tried map[string]bool) (vanillalug.Target, bool) {
	var fresh, again []vanillalug.Target
	for _, t := range o.Fleet().TargetsFor(service) {
		switch {
		case t.Leaving() || o.workerCondition(t.Name()) != dispatch.Up:
		case tried[t.Name()]:
			again = append(again, t)
		default:
			fresh = append(fresh, t)
		}
	}
	if len(fresh) == 0 {
		fresh = again
	}
	if len(fresh) == 0 {
		return vanillalug.Target{}, false
	}
	a, b := fresh[rand.IntN(len(fresh))], fresh[rand.IntN(len(fresh))]
	if o.targets.load(b.Name()) < o.targets.load(a.Name()) {
		return b, true
	}
	return a, true
}

func (o *Router) workerCondition(name string) dispatch.Condition {
	if o.targets.isListedLeaving(name) {
		return dispatch.Leaving
	}
	return o.loads.Condition(name, o.clock.Now())
}

func (o *Router) noWorker(c Call) *vanillalug.Problem {
	return vanillalug.NewProblem(http.StatusServiceUnavailable, "no-target",
		"no worker of service "+c.Service.Name()+" takes new work",
		vanillalug.WithRetryAfter(o.spread(shortRetry)))
}

func (o *Router) callFailed(err error) *vanillalug.Problem {
	state := vanillalug.RunUnknown
	var unsent *courier.UnsentError
	if errors.As(err, &unsent) {
		state = vanillalug.NotRun
	}
	status := http.StatusBadGateway
	if errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	return vanillalug.NewProblem(status, "target-failed", "the call failed; it may be repeated",
		vanillalug.WithRunState(state), vanillalug.WithRetryAfter(o.spread(shortRetry)))
}
