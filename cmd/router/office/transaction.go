package office

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"vanillalug.example"
	"vanillalug.example/allowance"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/dispatch"
)

// maxAttempts is the maximum number of attempts to start or resume a response.
const maxAttempts = 4

// transaction is one caller's chat request with its attempts at engines.
type transaction struct {
	router   *Router
	fleet    *vanillalug.Fleet
	chat     ChatRequest
	request  string
	route    *dispatch.Route
	sink     *transactionSink
	admitter string
	excluded map[string]bool
	spilled  bool
	attempts int
	start    time.Time
	// sentAt is when the current attempt began.
	sentAt time.Time
	// suspects is what of the chat may crash engines.
	suspects suspects
}

func newTransaction(r *Router, f *vanillalug.Fleet, q ChatRequest, sink Sink) *transaction {
	ranked := vanillalug.RankEngines(f.RulesLevel(), uint64(q.Key), r.usableEngines(f, q.Model))
	now := r.clock.Now()
	return &transaction{
		router:   r,
		fleet:    f,
		chat:     q,
		request:  r.newRequestID(),
		route:    dispatch.NewRoute(ranked, ""),
		sink:     newTransactionSink(sink, r.clock, q, now),
		excluded: map[string]bool{},
		attempts: 1,
		start:    now,
		suspects: r.suspectsOf(q),
	}
}

// usableEngines returns the engines that serve the model and, according to the
// local view of their condition, accept new requests.
func (r *Router) usableEngines(f *vanillalug.Fleet, model string) []vanillalug.Engine {
	var out []vanillalug.Engine
	for _, e := range f.EnginesFor(model) {
		if !e.Leaving() && !f.Evacuated(e.Place()) && r.condition(e.Name()) == dispatch.Up {
			out = append(out, e)
		}
	}
	return out
}

func (t *transaction) run(ctx context.Context) *vanillalug.Problem {
	if p := t.suspects.reject(); p != nil {
		return p
	}
	for {
		hop, ok := t.route.Hop()
		if !ok {
			return t.noEngineProblem()
		}
		switch v := t.admit(ctx, hop).(type) {
		case Completed:
			t.suspects.recordSound()
			meter.ResponseTime(t.chat.Workspace.Name(), t.chat.Class, t.router.clock.Now().Sub(t.start))
			return nil
		case Rejected:
			return v.Problem
		case CallerDisconnected:
			return t.callerDisconnected()
		case Redirected:
			t.route.Follow(dispatch.Redirect{Engine: v.Engine, Speculative: v.Speculative})
		case Spilled:
			t.spilled = true
			t.route.Spill(v.Engine)
		case EngineUnavailable:
			meter.Count("engine_out", "reason", v.Reason)
			t.route.Fail()
		case AdmitterUnavailable:
			if p := t.excludeAdmitter(ctx, v); p != nil {
				return p
			}
		case Interrupted:
			if v.Crashed && !t.suspects.recordCrash(hop.Engine(), t.chatStage(), t.sentAt) {
				return t.interrupted(v.Reason)
			}
			if p := t.retry(ctx, v.Reason); p != nil {
				return p
			}
		}
	}
}

// admit sends the request to the router that admits for the engine, which may be
// this one.
func (t *transaction) admit(ctx context.Context, hop dispatch.Hop) Result {
	if ctx.Err() != nil {
		return CallerDisconnected{}
	}
	t.sentAt = t.router.clock.Now()
	q := t.relayRequest(hop)
	name, address := t.selectAdmitter(hop.Engine())
	t.admitter = name
	if name == t.router.name {
		return t.router.Admit(ctx, q, t.sink)
	}
	return t.router.relay(ctx, name, address, q, t.sink)
}

// selectAdmitter returns the router that admits for the engine. Routers that could
// not admit this request before are excluded.
func (t *transaction) selectAdmitter(engine string) (name, address string) {
	s := t.router.owners()
	name = s.ownerExcluding(engine, t.excluded)
	if name == "" {
		name = t.router.name
	}
	return name, s.addresses[name]
}

func (t *transaction) relayRequest(hop dispatch.Hop) courier.RelayRequest {
	return courier.RelayRequest{
		Request:     t.request,
		From:        t.router.name,
		Workspace:   t.chat.Workspace.Name(),
		Class:       t.chat.Class,
		Model:       t.chat.Model,
		Chat:        t.chat.Key.String(),
		Engine:      hop.Engine(),
		Home:        hop.Home(),
		Next:        t.route.Next(),
		Others:      t.route.Alternatives(),
		Returning:   t.chat.Returning,
		Speculative: hop.Speculative(),
		CanForward:  hop.CanForward(),
		NoRedirect:  hop.NoRedirect(),
		Last:        hop.Last(),
		Spilled:     t.spilled,
		Resume:      t.sink.started,
		Offset:      t.sink.nextOffset,
		Version:     t.router.register.Head().Version(),
		Body:        t.chat.Body,
	}
}

// excludeAdmitter excludes a router that could not admit the request. Trying
// another one counts as a retry if the request may have run.
func (t *transaction) excludeAdmitter(ctx context.Context, v AdmitterUnavailable) *vanillalug.Problem {
	meter.Count("admitter_out", "reason", v.Reason)
	if t.admitter == t.router.name {
		return vanillalug.NewProblem(http.StatusServiceUnavailable, "router-not-ready", v.Reason,
			vanillalug.WithRetryAfter(t.router.jitter(retryAfter)))
	}
	t.excluded[t.admitter] = true
	if v.NotRun {
		return nil
	}
	return t.retry(ctx, v.Reason)
}

// retry counts one more attempt. A resume follows immediately; a new start is
// charged to the retry budget and waits for a backoff. It returns a problem if the
// attempts or the budget are exhausted.
func (t *transaction) retry(ctx context.Context, reason string) *vanillalug.Problem {
	t.attempts++
	if t.attempts > maxAttempts {
		return t.interrupted(reason)
	}
	if t.sink.started {
		return nil
	}
	if !t.router.budget.Withdraw(t.chat.Workspace.Name()) {
		meter.Count("retries", "result", "no-budget")
		return t.interrupted(reason)
	}
	meter.Count("retries", "result", "sent")
	t.route.Fail()
	select {
	case <-time.After(allowance.Backoff(t.attempts-2, rand.Float64())):
	case <-ctx.Done():
		return t.callerDisconnected()
	}
	return nil
}

func (t *transaction) interrupted(reason string) *vanillalug.Problem {
	return vanillalug.NewProblem(http.StatusBadGateway, "answer-broken-off",
		"the answer could not be made whole: "+reason,
		vanillalug.WithRunState(vanillalug.RunUnknown),
		vanillalug.WithRetryAfter(t.router.jitter(retryAfter)))
}

// callerDisconnected cancels the request at the engine after its caller
// disconnected.
func (t *transaction) callerDisconnected() *vanillalug.Problem {
	if t.sink.engine != "" {
		go t.router.cancel(t.sink.engine, t.request)
	}
	return vanillalug.NewProblem(statusClientClosedRequest, "caller-left", "the caller closed the connection",
		vanillalug.WithRunState(vanillalug.RunUnknown))
}

// statusClientClosedRequest is the status of a request whose caller disconnected.
// It appears in metrics only.
const statusClientClosedRequest = 499

func (t *transaction) noEngineProblem() *vanillalug.Problem {
	if t.sink.started || t.attempts > 1 {
		// The attempt before may have run.
		return t.interrupted("no engine is left")
	}
	if t.router.Fleet().ModelEvacuated(t.chat.Model) {
		return t.router.evacuatedProblem(fmt.Sprintf("model %q", t.chat.Model))
	}
	return vanillalug.NewProblem(http.StatusServiceUnavailable, "no-engine",
		fmt.Sprintf("no engine for model %q takes new work", t.chat.Model),
		vanillalug.WithRetryAfter(t.router.jitter(retryAfter)))
}
