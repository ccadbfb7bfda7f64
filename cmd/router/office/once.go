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
	// settleTime is when callers may ask again for an unknown outcome.
	settleTime     = 5 * time.Second
	outcomeTimeout = 2 * time.Second
)

// ClaimExpiredError says that too much time passed between the claim and the
// dispatch of a call.
type ClaimExpiredError struct{}

// Error implements error.
func (*ClaimExpiredError) Error() string { return "the claim is too old to dispatch" }

// callOnce sends a non-idempotent call at most once. A call without a key gets
// one of its own.
func (o *Router) callOnce(ctx context.Context, c Call) (Response, *vanillalug.Problem) {
	if c.IdempotencyKey == "" {
		c.IdempotencyKey = "own-" + rand.Text()
	}
	t, ok := o.pickWorker(c.Service.Name(), nil)
	if !ok {
		return Response{}, o.noWorker(c)
	}
	claim := ledger.NewClaim(c.Workspace.Name(), c.Service.Name(), c.IdempotencyKey,
		ledger.WithAttempt(o.nextRequest()),
		ledger.WithDigest(ledger.RequestDigest(c.Method, c.Path, c.Query, c.Body)),
		ledger.WithVersion(o.register.Head().Version()),
		ledger.WithRouter(o.name, t.Name()),
		ledger.WithTime(o.clock.Now().UTC()),
	)
	var opts []ledger.CallOption
	if c.Service.OutcomePath() != "" {
		opts = append(opts, ledger.WithOutcomeQuery())
	}
	r := &onceRun{office: o, call: c, target: t, decision: ledger.NewCall(o.clock, claim, opts...)}
	return r.run(ctx)
}

// onceRun carries out the effects of one non-idempotent call.
type onceRun struct {
	office   *Router
	call     Call
	target   vanillalug.Target
	decision *ledger.Call
}

func (r *onceRun) run(ctx context.Context) (Response, *vanillalug.Problem) {
	effects := r.decision.Handle(ledger.Begin{})
	for {
		var verdict ledger.Result
		var next ledger.Event
		for _, e := range effects {
			switch e := e.(type) {
			case ledger.Reply:
				verdict = e.Result
			case ledger.StoreOutcome:
				r.office.journal.record(e.Claim, e.Revision)
			case ledger.ReleaseClaim:
				r.office.journal.withdraw(e.Claim)
			default:
				next = r.carry(ctx, e)
			}
		}
		if verdict != nil {
			return r.answer(verdict)
		}
		effects = r.decision.Handle(next)
	}
}

// carry carries out an effect that has an answer.
func (r *onceRun) carry(ctx context.Context, e ledger.Effect) ledger.Event {
	switch e := e.(type) {
	case ledger.StoreClaim:
		return r.office.journal.claim(ctx, e)
	case ledger.ReadClaim:
		return r.office.journal.read(ctx, e.Key)
	case ledger.Dispatch:
		return r.dispatch(ctx)
	case ledger.QueryOutcome:
		return r.ask(e.Claim)
	}
	return nil
}

// dispatch sends the call. The work goes on when the caller leaves, so that
// its outcome is recorded.
func (r *onceRun) dispatch(ctx context.Context) ledger.Event {
	ctx, done := context.WithTimeout(context.WithoutCancel(ctx), r.call.Service.Deadline())
	defer done()
	a, err := r.office.send(ctx, r.target, r.call, true, r.mayDispatch)
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
	return ledger.ResponseReceived{Outcome: ledger.NewOutcome(a.Status, a.Header, a.Body)}
}

func (r *onceRun) mayDispatch() error {
	if !r.decision.MayDispatch() {
		return &ClaimExpiredError{}
	}
	return nil
}

// ask asks the target that the claim names for the outcome.
func (r *onceRun) ask(c ledger.Claim) ledger.Event {
	address := ""
	for _, t := range r.office.Fleet().TargetsFor(c.Service()) {
		if t.Name() == c.Target() {
			address = t.Address()
		}
	}
	if address == "" {
		return ledger.OutcomeUnknown{}
	}
	ctx, done := background(outcomeTimeout)
	defer done()
	a, err := r.office.calls.Outcome(ctx, address, r.call.Service.OutcomePath(), c.Workspace(), c.Key())
	if err != nil {
		return ledger.OutcomeUnknown{}
	}
	return ledger.OutcomeFound{Outcome: ledger.NewOutcome(a.Status, a.Header, a.Body)}
}

func (r *onceRun) answer(v ledger.Result) (Response, *vanillalug.Problem) {
	switch v := v.(type) {
	case ledger.Ran:
		return ranAnswer(v)
	case ledger.NotRun:
		return Response{}, r.notRun(v)
	case ledger.MayHaveRun:
		return Response{}, vanillalug.NewProblem(http.StatusConflict, "outcome-unknown",
			"the call with this key may have been run; its outcome is not recorded",
			vanillalug.WithRunState(vanillalug.RunUnknown),
			vanillalug.WithRetryAfter(r.office.spread(settleTime)))
	default:
		return Response{}, vanillalug.NewProblem(http.StatusUnprocessableEntity, "key-reused",
			"the key was used for another request", vanillalug.WithField(courier.IdempotencyHeader))
	}
}

func (r *onceRun) notRun(v ledger.NotRun) *vanillalug.Problem {
	opts := []vanillalug.ProblemOption{vanillalug.WithRetryAfter(r.office.spread(shortRetry))}
	if v.Earlier {
		opts = append(opts, vanillalug.WithEarlierRunState(vanillalug.RunUnknown))
	}
	return vanillalug.NewProblem(http.StatusServiceUnavailable, string(v.Cause), "the call was not run", opts...)
}

func ranAnswer(v ledger.Ran) (Response, *vanillalug.Problem) {
	out := v.Outcome
	if out.Status() == 0 || out.BodyOmitted() && v.Replayed {
		return Response{}, vanillalug.NewProblem(http.StatusConflict, "outcome-not-kept",
			"the call was run; its answer is not kept", vanillalug.WithRunState(vanillalug.RunDone))
	}
	return Response{Status: out.Status(), Header: out.Header(), Body: out.Body(), Replayed: v.Replayed}, nil
}
