package office

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/ledger"
)

const (
	// unknownRetryAfter is the Retry-After of calls whose outcome is unknown.
	unknownRetryAfter = 5 * time.Second
	outcomeTimeout    = 2 * time.Second
)

// ClaimExpiredError reports that too much time passed between the claim and the
// dispatch of a call.
type ClaimExpiredError struct{}

// Error implements error.
func (*ClaimExpiredError) Error() string { return "the claim is too old to dispatch" }

// callNonIdempotent sends a non-idempotent call at most once. A call without an
// idempotency key gets a random one.
func (r *Router) callNonIdempotent(ctx context.Context, c Call) (Response, *vanillalug.Problem) {
	if c.IdempotencyKey == "" {
		c.IdempotencyKey = "own-" + rand.Text()
	}
	t, ok := r.pickWorker(c.Service.Name(), nil)
	if !ok {
		return Response{}, r.noWorkerProblem(c)
	}
	claim := ledger.NewClaim(c.Workspace.Name(), c.Service.Name(), c.IdempotencyKey,
		ledger.WithAttempt(r.newRequestID()),
		ledger.WithDigest(ledger.RequestDigest(c.Method, c.Path, c.Query, c.Body)),
		ledger.WithVersion(r.register.Head().Version()),
		ledger.WithRouter(r.name, t.Name()),
		ledger.WithTime(r.clock.Now().UTC()),
	)
	var opts []ledger.CallOption
	if c.Service.OutcomePath() != "" {
		opts = append(opts, ledger.WithOutcomeQuery())
	}
	call := &nonIdempotentCall{router: r, call: c, target: t, protocol: ledger.NewCall(r.clock, claim, opts...)}
	return call.run(ctx)
}

// nonIdempotentCall executes the effects of one non-idempotent call.
type nonIdempotentCall struct {
	router   *Router
	call     Call
	target   vanillalug.Target
	protocol *ledger.Call
	// received is the response of the target if it came to this call.
	received Response
}

func (n *nonIdempotentCall) run(ctx context.Context) (Response, *vanillalug.Problem) {
	effects := n.protocol.Handle(ledger.Begin{})
	for {
		var result ledger.Result
		var next ledger.Event
		for _, e := range effects {
			switch e := e.(type) {
			case ledger.Reply:
				result = e.Result
			case ledger.StoreOutcome:
				n.router.journal.storeOutcome(e.Claim, e.Revision)
			case ledger.ReleaseClaim:
				n.router.journal.releaseClaim(e.Claim)
			default:
				next = n.apply(ctx, e)
			}
		}
		if result != nil {
			return n.response(result)
		}
		effects = n.protocol.Handle(next)
	}
}

// apply executes an effect and returns the event that follows from it.
func (n *nonIdempotentCall) apply(ctx context.Context, e ledger.Effect) ledger.Event {
	switch e := e.(type) {
	case ledger.StoreClaim:
		return n.router.journal.storeClaim(ctx, e)
	case ledger.ReadClaim:
		return n.router.journal.readClaim(ctx, e.Key)
	case ledger.Dispatch:
		return n.dispatch(ctx)
	case ledger.QueryOutcome:
		return n.queryOutcome(e.Claim)
	}
	return nil
}

// dispatch sends the call. It continues after the caller disconnects, so that the
// outcome is recorded.
func (n *nonIdempotentCall) dispatch(ctx context.Context) ledger.Event {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), n.call.Service.Deadline())
	defer done()
	a, err := n.router.sendCall(ctx, n.target, n.call, true, n.mayDispatch)
	var unsent *courier.UnsentError
	switch {
	case errors.As(err, &unsent):
		meter.Count("dispatches", "result", "unsent")
		return ledger.SendFailed{}
	case err != nil:
		meter.Count("dispatches", "result", "cut")
		return ledger.ResponseLost{}
	}
	meter.Count("dispatches", "result", "answered")
	n.received = a
	outcome := ledger.NewOutcome(a.Status, a.Header, a.Body)
	if a.BodyLeftOut {
		outcome = outcome.WithoutBody()
	}
	return ledger.ResponseReceived{Outcome: outcome}
}

func (n *nonIdempotentCall) mayDispatch() error {
	if !n.protocol.MayDispatch() {
		return &ClaimExpiredError{}
	}
	if place := n.target.Place(); n.router.evacuated(place) {
		return &PlaceEvacuatedError{Place: place}
	}
	return nil
}

// queryOutcome queries the target that the claim names for the outcome of the call.
func (n *nonIdempotentCall) queryOutcome(c ledger.Claim) ledger.Event {
	address, place := "", ""
	f := n.router.Fleet()
	for _, t := range f.TargetsFor(c.Service()) {
		if t.Name() == c.Target() && !f.Evacuated(t.Place()) {
			address, place = t.Address(), t.Place()
		}
	}
	if address == "" {
		return ledger.OutcomeUnknown{}
	}
	ctx, done := detachedContext(outcomeTimeout)
	defer done()
	a, err := n.router.calls.Outcome(n.router.whileInUse(ctx, place), address, n.call.Service.OutcomePath(), c.Workspace(), c.Key())
	if err != nil {
		return ledger.OutcomeUnknown{}
	}
	return ledger.OutcomeFound{Outcome: ledger.NewOutcome(a.Status, a.Header, a.Body)}
}

func (n *nonIdempotentCall) response(v ledger.Result) (Response, *vanillalug.Problem) {
	switch v := v.(type) {
	case ledger.Ran:
		return n.ranResponse(v)
	case ledger.NotRun:
		return Response{}, n.notRun(v)
	case ledger.MayHaveRun:
		return Response{}, vanillalug.NewProblem(http.StatusConflict, "outcome-unknown",
			"the call with this key may have been run; its outcome is not recorded",
			vanillalug.WithRunState(vanillalug.RunUnknown),
			vanillalug.WithRetryAfter(n.router.jitter(unknownRetryAfter)))
	default:
		return Response{}, vanillalug.NewProblem(http.StatusUnprocessableEntity, "key-reused",
			"the key was used for another request", vanillalug.WithField(courier.IdempotencyHeader))
	}
}

func (n *nonIdempotentCall) notRun(v ledger.NotRun) *vanillalug.Problem {
	opts := []vanillalug.ProblemOption{vanillalug.WithRetryAfter(n.router.jitter(retryAfter))}
	if v.Earlier {
		opts = append(opts, vanillalug.WithEarlierRunState(vanillalug.RunUnknown))
	}
	return vanillalug.NewProblem(http.StatusServiceUnavailable, string(v.Cause), "the call was not run", opts...)
}

// ranResponse returns the response of a call that ran. A body that is too long to be recorded is that
// which this call received.
func (n *nonIdempotentCall) ranResponse(v ledger.Ran) (Response, *vanillalug.Problem) {
	out := v.Outcome
	if out.BodyOmitted() && !v.Replayed {
		return n.received, nil
	}
	if out.Status() == 0 || out.BodyOmitted() && v.Replayed {
		return Response{}, vanillalug.NewProblem(http.StatusConflict, "outcome-not-kept",
			"the call was run; its answer is not kept", vanillalug.WithRunState(vanillalug.RunDone))
	}
	return Response{Status: out.Status(), Header: out.Header(), Body: out.Body(), Replayed: v.Replayed}, nil
}
