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

// firstReportTimeout is how long a request waits for the first load report of an
// engine.
const firstReportTimeout = 500 * time.Millisecond

// Admit decides on a chat request as the admitting router of its engine and, once
// it is admitted, streams the response to the sink.
func (r *Router) Admit(ctx context.Context, q courier.RelayRequest, sink Sink) Result {
	r.recordLoads(q.Loads)
	f, out := r.admissible(ctx, q)
	if out != nil {
		return out
	}
	e, ok := f.Engine(q.Engine)
	if !ok {
		return EngineUnavailable{Reason: "not in the fleet document"}
	}
	if f.Evacuated(e.Place()) {
		return evacuatedResult(q)
	}
	es := r.engineState(ctx, e)
	if q.Resume {
		return r.resume(ctx, es, e, q, sink)
	}
	if c := es.health.Condition(); c != dispatch.Up {
		return EngineUnavailable{Reason: c.String()}
	}
	chat, err := vanillalug.ParseChatKey(q.Chat)
	if err != nil {
		return Rejected{Problem: vanillalug.NewProblem(http.StatusBadRequest, "bad-chat-key", err.Error())}
	}
	at, cached := r.lookUpCache(f, es, q, chat)
	if at != nil {
		return at
	}
	return r.queue(ctx, f, es, e, q, chat, cached, sink)
}

// evacuatedResult is the result at an engine of an evacuated place. A response that was
// interrupted can't go on, as only this engine has the rest of it.
func evacuatedResult(q courier.RelayRequest) Result {
	if q.Resume {
		return Interrupted{Reason: reasonEvacuated}
	}
	return EngineUnavailable{Reason: reasonEvacuated}
}

// admissible checks that this router may admit the request and that its fleet
// document is not older than the sender's. Otherwise it returns a result.
func (r *Router) admissible(ctx context.Context, q courier.RelayRequest) (*vanillalug.Fleet, Result) {
	local := q.From == r.name
	if !local && r.draining.Load() && !q.Resume {
		return nil, AdmitterUnavailable{Reason: "leaving", NotRun: true}
	}
	if !r.roster.Fresh() && !local {
		return nil, AdmitterUnavailable{Reason: "paused", NotRun: true}
	}
	if q.Version > r.register.Head().Version() {
		r.syncFromPeer(ctx, q.From)
	}
	if q.Version > r.register.Head().Version() {
		return nil, AdmitterUnavailable{Reason: "behind", NotRun: true}
	}
	if !r.register.Ready() && !q.Resume {
		return nil, AdmitterUnavailable{Reason: "rules level", NotRun: true}
	}
	f := r.register.Fleet()
	if f == nil {
		return nil, AdmitterUnavailable{Reason: "no fleet document", NotRun: true}
	}
	return f, nil
}

// engineState returns the state of the engine. If that is new, it waits for the first
// load report, because other routers may have requests in flight at the engine.
func (r *Router) engineState(ctx context.Context, e vanillalug.Engine) *engineState {
	es, added := r.engineStates.getOrAdd(e.Name(), func() *engineState { return newEngineState(r, e.Name(), e.Slots()) })
	es.markUsed(r.clock.Now())
	if added {
		go r.pollEngine(es, e)
	}
	select {
	case <-es.ready:
	case <-ctx.Done():
	case <-time.After(firstReportTimeout):
	}
	return es
}

// lookUpCache looks up where the chat is cached. It returns a result if that is
// another engine, otherwise whether this engine has it cached.
func (r *Router) lookUpCache(f *vanillalug.Fleet, es *engineState, q courier.RelayRequest, chat vanillalug.ChatKey) (Result, bool) {
	lookup := dispatch.Lookup{
		Chat: chat, Returning: q.Returning, Next: q.Next, Home: q.Home,
		Speculative: q.Speculative, CanForward: q.CanForward, NoRedirect: q.NoRedirect || q.Last,
	}
	for _, e := range es.cacheIndex.Handle(lookup) {
		switch e := e.(type) {
		case dispatch.ServeLocal:
			return nil, e.Cached
		case dispatch.Redirect:
			target, known := f.Engine(e.Engine)
			if known && f.Evacuated(target.Place()) {
				// The entry stays for the return, unless the chat is served elsewhere.
				return nil, false
			}
			if known && target.Serves(q.Model) && r.condition(e.Engine) == dispatch.Up {
				return Redirected{Engine: e.Engine, Speculative: e.Speculative}, false
			}
			es.cacheIndex.Handle(dispatch.Admitted{Chat: chat})
		}
	}
	return nil, false
}

// condition returns the condition of a target: that of the local health check if
// this router admits for it as an engine, otherwise the one in the load view.
func (r *Router) condition(target string) dispatch.Condition {
	if es, ok := r.engineStates.get(target); ok && r.owns(target) {
		return es.health.Condition()
	}
	if r.targets.isLeaving(target) {
		return dispatch.Leaving
	}
	return r.loads.Condition(target, r.clock.Now())
}

// queue passes the request to the admission controller, waits for its decision
// and starts the request if it is admitted.
func (r *Router) queue(ctx context.Context, f *vanillalug.Fleet, es *engineState, e vanillalug.Engine, q courier.RelayRequest, chat vanillalug.ChatKey, cached bool, sink Sink) Result {
	decisions := es.subscribe(q.Request)
	defer es.stopWaiting(q.Request)
	localityWait := time.Duration(0)
	if c, ok := f.Class(q.Class); ok && cached && !q.Spilled {
		localityWait = min(c.LocalityWait(), e.PrefillTime(len(q.Body)))
	}
	es.handle(r.arrivedEvent(f, e, q, localityWait))
	for {
		select {
		case d := <-decisions:
			switch d := d.(type) {
			case desk.Wait:
				sink.Queued()
			case desk.Resubmit:
				es.handle(r.arrivedEvent(f, e, q, 0))
			case desk.Spill:
				es.cacheIndex.Handle(dispatch.Spilled{Chat: chat, Engine: d.Engine})
				return Spilled{Engine: d.Engine}
			case desk.Reject:
				return rejected(d)
			case desk.Admit:
				defer es.handle(desk.Finished{ID: q.Request})
				if r.evacuated(e.Place()) {
					return EngineUnavailable{Reason: reasonEvacuated}
				}
				es.cacheIndex.Handle(dispatch.Admitted{Chat: chat})
				sink.Admitted(e.Name(), d.Waited)
				return r.start(ctx, es, e, f, q, sink)
			}
		case <-ctx.Done():
			return r.cancelQueued(es, q, decisions)
		}
	}
}

// arrivedEvent returns the event that submits a request to the admission
// controller.
func (r *Router) arrivedEvent(f *vanillalug.Fleet, e vanillalug.Engine, q courier.RelayRequest, localityWait time.Duration) desk.Arrived {
	return desk.Arrived{
		Request:      r.admissionRequest(f, q),
		Pool:         r.pool(f, e),
		Alternatives: r.alternatives(f, q),
		Last:         q.Last,
		Uncached:     !q.Returning && !q.NoRedirect,
		LocalityWait: localityWait,
	}
}

// cancelQueued removes a request from the queue. If it was admitted in the
// meantime, it is marked as finished.
func (r *Router) cancelQueued(es *engineState, q courier.RelayRequest, decisions chan desk.Effect) Result {
	es.handle(desk.Canceled{ID: q.Request})
	for {
		select {
		case d := <-decisions:
			if _, ok := d.(desk.Admit); ok {
				es.handle(desk.Finished{ID: q.Request})
			}
		default:
			return CallerDisconnected{}
		}
	}
}

func rejected(d desk.Reject) Result {
	if d.Reason == desk.EngineClosed {
		return EngineUnavailable{Reason: string(d.Reason)}
	}
	detail := "the fleet is busy; the request was not run"
	return Rejected{Problem: vanillalug.NewProblem(http.StatusServiceUnavailable, string(d.Reason), detail,
		vanillalug.WithRetryAfter(d.RetryAfter))}
}

func (r *Router) admissionRequest(f *vanillalug.Fleet, q courier.RelayRequest) desk.Request {
	var opts []desk.RequestOption
	if ws, ok := f.Workspace(q.Workspace); ok {
		opts = append(opts, desk.WithShare(ws.Weight()))
	}
	if c, ok := f.Class(q.Class); ok {
		opts = append(opts, desk.WithClass(c.Name(), c.Weight(), c.QueueLimit(), c.QueueDeadline()))
	}
	return desk.NewRequest(q.Request, q.Workspace, opts...)
}

// pool returns the total load of the available engines that share a model with
// the engine.
func (r *Router) pool(f *vanillalug.Fleet, e vanillalug.Engine) desk.Pool {
	now := r.clock.Now()
	engines, load := 0, 0
	for _, other := range f.EnginesSharingModel(e) {
		if f.Evacuated(other.Place()) || r.condition(other.Name()) != dispatch.Up {
			continue
		}
		engines++
		load += r.loadOf(other.Name(), now)
	}
	return desk.NewPool(engines, load, f.LoadBound(), f.LoadBoundFloor())
}

// loadOf returns the load of an engine: the current one if this router admits for
// it, otherwise the one in the load view.
func (r *Router) loadOf(engine string, now time.Time) int {
	if es, ok := r.engineStates.get(engine); ok && r.owns(engine) {
		return es.admission.Load()
	}
	l, _ := r.loads.Get(engine, now)
	return l.InFlight()
}

func (r *Router) alternatives(f *vanillalug.Fleet, q courier.RelayRequest) []desk.Alternative {
	now := r.clock.Now()
	var out []desk.Alternative
	for _, name := range q.Others {
		e, ok := f.Engine(name)
		if !ok || f.Evacuated(e.Place()) || r.condition(name) != dispatch.Up {
			continue
		}
		out = append(out, desk.NewAlternative(name, r.loadOf(name, now), e.Slots()))
	}
	return out
}
