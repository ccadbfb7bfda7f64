package office

import (
	"context"
	"net/http"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/desk"
	"vanillalug.example/dispatch"
)

// firstReport is how long a new post waits for the first report of its engine.
const firstReport = 500 * time.Millisecond

// Admit decides a chat request as the admitting router of its engine and, once
// it is admitted, streams the answer into the sink.
func (o *Router) Admit(ctx context.Context, q courier.RelayRequest, sink Sink) Result {
	o.takeLoads(q.Loads)
	f, out := o.admissible(ctx, q)
	if out != nil {
		return out
	}
	e, ok := f.Engine(q.Engine)
	if !ok {
		return EngineUnavailable{Reason: "not in the fleet document"}
	}
	p := o.post(ctx, e)
	if q.Resume {
		return o.adopt(ctx, p, e, q, sink)
	}
	if c := p.health.Condition(); c != dispatch.Up {
		return EngineUnavailable{Reason: c.String()}
	}
	chat, err := vanillalug.ParseChatKey(q.Chat)
	if err != nil {
		return Rejected{Problem: vanillalug.NewProblem(http.StatusBadRequest, "bad-chat-key", err.Error())}
	}
	at, cached := o.cachedAt(f, p, q, chat)
	if at != nil {
		return at
	}
	return o.queue(ctx, f, p, e, q, chat, cached, sink)
}

// admissible checks that this router may admit and is not behind the sender.
func (o *Router) admissible(ctx context.Context, q courier.RelayRequest) (*vanillalug.Fleet, Result) {
	local := q.From == o.name
	if !local && o.leaving.Load() && !q.Resume {
		return nil, AdmitterUnavailable{Reason: "leaving", NotRun: true}
	}
	if !o.roster.Fresh() && !local {
		return nil, AdmitterUnavailable{Reason: "paused", NotRun: true}
	}
	if q.Version > o.register.Head().Version() {
		o.catchUp(ctx, q.From)
	}
	if q.Version > o.register.Head().Version() {
		return nil, AdmitterUnavailable{Reason: "behind", NotRun: true}
	}
	if !o.register.Ready() && !q.Resume {
		return nil, AdmitterUnavailable{Reason: "rules level", NotRun: true}
	}
	f := o.register.Fleet()
	if f == nil {
		return nil, AdmitterUnavailable{Reason: "no fleet document", NotRun: true}
	}
	return f, nil
}

// post returns the post of the engine. A new one first asks the engine for its
// load, which other routers may have put there.
func (o *Router) post(ctx context.Context, e vanillalug.Engine) *post {
	p, added := o.posts.getOrAdd(e.Name(), func() *post { return newPost(o, e.Name(), e.Slots()) })
	p.touch(o.clock.Now())
	if added {
		go o.watchEngine(p, e)
	}
	select {
	case <-p.ready:
	case <-ctx.Done():
	case <-time.After(firstReport):
	}
	return p
}

// cachedAt asks the keeper where the chat is cached. It returns a verdict when
// that is at another engine, and else whether it is cached at this one.
func (o *Router) cachedAt(f *vanillalug.Fleet, p *post, q courier.RelayRequest, chat vanillalug.ChatKey) (Result, bool) {
	ask := dispatch.Lookup{
		Chat: chat, Returning: q.Returning, Next: q.Next, Home: q.Home,
		Speculative: q.Speculative, CanForward: q.CanForward, NoRedirect: q.NoRedirect || q.Last,
	}
	for _, e := range p.keeper.Handle(ask) {
		switch e := e.(type) {
		case dispatch.ServeLocal:
			return nil, e.Cached
		case dispatch.Redirect:
			target, known := f.Engine(e.Engine)
			if known && target.Serves(q.Model) && o.condition(e.Engine) == dispatch.Up {
				return Redirected{Engine: e.Engine, Speculative: e.Speculative}, false
			}
			p.keeper.Handle(dispatch.Admitted{Chat: chat})
		}
	}
	return nil, false
}

// condition returns the condition of a target as far as it is known here.
func (o *Router) condition(target string) dispatch.Condition {
	if p, ok := o.posts.get(target); ok && o.owns(target) {
		return p.health.Condition()
	}
	if o.targets.isListedLeaving(target) {
		return dispatch.Leaving
	}
	return o.loads.Condition(target, o.clock.Now())
}

// queue brings the request to the desk and waits for its answer.
func (o *Router) queue(ctx context.Context, f *vanillalug.Fleet, p *post, e vanillalug.Engine, q courier.RelayRequest, chat vanillalug.ChatKey, cached bool, sink Sink) Result {
	answers := p.await(q.Request)
	defer p.forget(q.Request)
	patience := time.Duration(0)
	if c, ok := f.Class(q.Class); ok && cached && !q.Spilled {
		patience = min(c.LocalityWait(), e.PrefillTime(len(q.Body)))
	}
	p.handle(o.arrival(f, e, q, patience))
	for {
		select {
		case a := <-answers:
			switch a := a.(type) {
			case desk.Wait:
				sink.Queued()
			case desk.Resubmit:
				p.handle(o.arrival(f, e, q, 0))
			case desk.Spill:
				p.keeper.Handle(dispatch.Spilled{Chat: chat, Engine: a.Engine})
				return Spilled{Engine: a.Engine}
			case desk.Reject:
				return refusal(a)
			case desk.Admit:
				defer p.handle(desk.Finished{ID: q.Request})
				p.keeper.Handle(dispatch.Admitted{Chat: chat})
				sink.Admitted(e.Name(), a.Waited)
				return o.run(ctx, p, e, f, q, sink)
			}
		case <-ctx.Done():
			return o.withdraw(p, q, answers)
		}
	}
}

// arrival returns what the desk has to know of a request.
func (o *Router) arrival(f *vanillalug.Fleet, e vanillalug.Engine, q courier.RelayRequest, patience time.Duration) desk.Arrived {
	return desk.Arrived{
		Request:      o.deskRequest(f, q),
		Pool:         o.pool(f, e),
		Alternatives: o.alternatives(f, q),
		Last:         q.Last,
		Uncached:     !q.Returning && !q.NoRedirect,
		LocalityWait: patience,
	}
}

// withdraw takes a waiting request out. It may have been admitted meanwhile.
func (o *Router) withdraw(p *post, q courier.RelayRequest, answers chan desk.Effect) Result {
	p.handle(desk.Canceled{ID: q.Request})
	for {
		select {
		case a := <-answers:
			if _, ok := a.(desk.Admit); ok {
				p.handle(desk.Finished{ID: q.Request})
			}
		default:
			return CallerDisconnected{}
		}
	}
}

func refusal(a desk.Reject) Result {
	if a.Reason == desk.EngineClosed {
		return EngineUnavailable{Reason: string(a.Reason)}
	}
	detail := "the fleet is busy; the request was not run"
	return Rejected{Problem: vanillalug.NewProblem(http.StatusServiceUnavailable, string(a.Reason), detail,
		vanillalug.WithRetryAfter(a.RetryAfter))}
}

func (o *Router) deskRequest(f *vanillalug.Fleet, q courier.RelayRequest) desk.Request {
	var opts []desk.RequestOption
	if ws, ok := f.Workspace(q.Workspace); ok {
		opts = append(opts, desk.WithShare(ws.Weight()))
	}
	if c, ok := f.Class(q.Class); ok {
		opts = append(opts, desk.WithClass(c.Name(), c.Weight(), c.QueueLimit(), c.QueueDeadline()))
	}
	return desk.NewRequest(q.Request, q.Workspace, opts...)
}

// pool returns the load of the engines that share a model with the engine.
func (o *Router) pool(f *vanillalug.Fleet, e vanillalug.Engine) desk.Pool {
	now := o.clock.Now()
	engines, load := 0, 0
	for _, other := range f.EnginesSharingModel(e) {
		if o.condition(other.Name()) != dispatch.Up {
			continue
		}
		engines++
		load += o.loadOf(other.Name(), now)
	}
	return desk.NewPool(engines, load, f.LoadBound(), f.LoadBoundFloor())
}

// loadOf returns the load of an engine: exact where this router admits for
// it, else the last that was heard.
func (o *Router) loadOf(engine string, now time.Time) int {
	if p, ok := o.posts.get(engine); ok && o.owns(engine) {
		return p.desk.Load()
	}
	l, _ := o.loads.Get(engine, now)
	return l.InFlight()
}

func (o *Router) alternatives(f *vanillalug.Fleet, q courier.RelayRequest) []desk.Alternative {
	now := o.clock.Now()
	var out []desk.Alternative
	for _, name := range q.Others {
		e, ok := f.Engine(name)
		if !ok || o.condition(name) != dispatch.Up {
			continue
		}
		out = append(out, desk.NewAlternative(name, o.loadOf(name, now), e.Slots()))
	}
	return out
}
