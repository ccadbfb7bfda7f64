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

// maxAttempts is the number of times that an answer is started or resumed.
const maxAttempts = 4

// trip is one chat request on its way from engine to engine.
type trip struct {
	office   *Router
	fleet    *vanillalug.Fleet
	chat     ChatRequest
	request  string
	route    *dispatch.Route
	sink     *tripSink
	asked    string
	avoid    map[string]bool
	spilled  bool
	attempts int
	begun    time.Time
}

func newTrip(o *Router, f *vanillalug.Fleet, q ChatRequest, sink Sink) *trip {
	ranked := vanillalug.RankEngines(f.RulesLevel(), uint64(q.Key), o.usable(f, q.Model))
	now := o.clock.Now()
	return &trip{
		office:   o,
		fleet:    f,
		chat:     q,
		request:  o.nextRequest(),
		route:    dispatch.NewRoute(ranked, ""),
		sink:     newTripSink(sink, o.clock, q, now),
		avoid:    map[string]bool{},
		attempts: 1,
		begun:    now,
	}
}

// usable returns the engines that serve the model and take new work, as far
// as is known here.
func (o *Router) usable(f *vanillalug.Fleet, model string) []vanillalug.Engine {
	var out []vanillalug.Engine
	for _, e := range f.EnginesFor(model) {
		if !e.Leaving() && o.condition(e.Name()) == dispatch.Up {
			out = append(out, e)
		}
	}
	return out
}

func (t *trip) run(ctx context.Context) *vanillalug.Problem {
	for {
		hop, ok := t.route.Hop()
		if !ok {
			return t.noEngine()
		}
		switch v := t.ask(ctx, hop).(type) {
		case Completed:
			meter.ResponseTime(t.chat.Workspace.Name(), t.chat.Class, t.office.clock.Now().Sub(t.begun))
			return nil
		case Rejected:
			return v.Problem
		case CallerDisconnected:
			return t.gone()
		case Redirected:
			t.route.Follow(dispatch.Redirect{Engine: v.Engine, Speculative: v.Speculative})
		case Spilled:
			t.spilled = true
			t.route.Spill(v.Engine)
		case EngineUnavailable:
			meter.Count("engine_out", "reason", v.Reason)
			t.route.Fail()
		case AdmitterUnavailable:
			if p := t.nextAdmitter(ctx, v); p != nil {
				return p
			}
		case Interrupted:
			if p := t.again(ctx, v.Reason); p != nil {
				return p
			}
		}
	}
}

// ask brings the request to the router that admits for the engine.
func (t *trip) ask(ctx context.Context, hop dispatch.Hop) Result {
	if ctx.Err() != nil {
		return CallerDisconnected{}
	}
	q := t.relay(hop)
	name, address := t.admitter(hop.Engine())
	t.asked = name
	if name == t.office.name {
		return t.office.Admit(ctx, q, t.sink)
	}
	return t.office.relay(ctx, name, address, q, t.sink)
}

// admitter returns the router that admits for the engine, leaving out those
// that this request has met in trouble.
func (t *trip) admitter(engine string) (name, address string) {
	s := t.office.owners()
	name = s.without(engine, t.avoid)
	if name == "" {
		name = t.office.name
	}
	return name, s.addresses[name]
}

func (t *trip) relay(hop dispatch.Hop) courier.RelayRequest {
	return courier.RelayRequest{
		Request:     t.request,
		From:        t.office.name,
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
		Offset:      t.sink.next,
		Version:     t.office.register.Head().Version(),
		Body:        t.chat.Body,
	}
}

// nextAdmitter leaves out a router that cannot admit. If the request may have
// reached it, trying another one is a retry.
func (t *trip) nextAdmitter(ctx context.Context, v AdmitterUnavailable) *vanillalug.Problem {
	meter.Count("admitter_out", "reason", v.Reason)
	if t.asked == t.office.name {
		return vanillalug.NewProblem(http.StatusServiceUnavailable, "router-not-ready", v.Reason,
			vanillalug.WithRetryAfter(t.office.spread(shortRetry)))
	}
	t.avoid[t.asked] = true
	if v.NotRun {
		return nil
	}
	return t.again(ctx, v.Reason)
}

// again pays for one more attempt, at once for a resume and after a backoff
// for a new start.
func (t *trip) again(ctx context.Context, reason string) *vanillalug.Problem {
	t.attempts++
	if t.attempts > maxAttempts {
		return t.broken(reason)
	}
	if t.sink.started {
		return nil
	}
	if !t.office.budget.Withdraw(t.chat.Workspace.Name()) {
		meter.Count("retries", "result", "no-budget")
		return t.broken(reason)
	}
	meter.Count("retries", "result", "sent")
	t.route.Fail()
	select {
	case <-time.After(allowance.Backoff(t.attempts-2, rand.Float64())):
	case <-ctx.Done():
		return t.gone()
	}
	return nil
}

func (t *trip) broken(reason string) *vanillalug.Problem {
	return vanillalug.NewProblem(http.StatusBadGateway, "answer-broken-off",
		"the answer could not be made whole: "+reason,
		vanillalug.WithRunState(vanillalug.RunUnknown),
		vanillalug.WithRetryAfter(t.office.spread(shortRetry)))
}

// gone cancels the engine's work for a caller who has left.
func (t *trip) gone() *vanillalug.Problem {
	if t.sink.engine != "" {
		go t.office.cancel(t.sink.engine, t.request)
	}
	return vanillalug.NewProblem(statusCallerLeft, "caller-left", "the caller closed the connection",
		vanillalug.WithRunState(vanillalug.RunUnknown))
}

// statusCallerLeft is only seen in metrics.
const statusCallerLeft = 499

func (t *trip) noEngine() *vanillalug.Problem {
	if t.sink.started {
		return t.broken("no engine is left")
	}
	return vanillalug.NewProblem(http.StatusServiceUnavailable, "no-engine",
		fmt.Sprintf("no engine for model %q takes new work", t.chat.Model),
		vanillalug.WithRetryAfter(t.office.spread(shortRetry)))
}
