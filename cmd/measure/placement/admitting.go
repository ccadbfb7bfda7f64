package placement

import (
	"cmp"
	"slices"
	"time"

	"vanillalug.example/desk"
	"vanillalug.example/dispatch"
)

const (
	queueLimit    = 256
	queueDeadline = 20 * time.Second
)

// admittingPlacer sends requests to the routers that admit for the engines.
type admittingPlacer struct {
	fleet        *fleet
	states       map[string]*engineState
	balance      bool
	localityWait time.Duration
	capAtPrefill bool
}

func newAdmittingPlacer(f *fleet) *admittingPlacer {
	p := &admittingPlacer{fleet: f, states: map[string]*engineState{}}
	if w, ok := f.c.policy.(Admitting); ok {
		p.balance = w.Balance
		p.localityWait = w.LocalityWait
		p.capAtPrefill = w.CapAtPrefill
	}
	f.clock.Every(tickPeriod, func(time.Time) { p.tick() })
	f.clock.Every(reportPeriod, func(time.Time) { p.report() })
	return p
}

func (p *admittingPlacer) place(r *request) {
	ranked := p.fleet.rank(r)
	r.route = dispatch.NewRoute(ranked, "")
	p.submit(r)
}

// submit follows the route of a request until an engine's admitting router
// admits, queues or rejects it.
func (p *admittingPlacer) submit(r *request) {
	for {
		hop, ok := r.route.Hop()
		if !ok {
			p.fleet.reject()
			return
		}
		e := p.fleet.engines[hop.Engine()]
		if !e.up {
			r.route.Fail()
			continue
		}
		st := p.state(p.fleet.owner(p.fleet.routers[r.router], e.name), e)
		if p.redirected(r, hop, st) {
			continue
		}
		if p.submitTo(r, hop, st) {
			return
		}
	}
}

// redirected looks the chat up in the cache index and reports whether the
// request was redirected.
func (p *admittingPlacer) redirected(r *request, hop dispatch.Hop, st *engineState) bool {
	if _, ok := p.fleet.c.affinity.(CacheIndexAffinity); !ok {
		r.cached = r.turn > 0
		return false
	}
	lookup := dispatch.Lookup{
		Chat: r.chatKey(), Returning: r.turn > 0, Next: r.route.Next(), Home: hop.Home(),
		Speculative: hop.Speculative(), CanForward: hop.CanForward(), NoRedirect: hop.NoRedirect() || hop.Last(),
	}
	r.cached = false
	for _, e := range st.cacheIndex.Handle(lookup) {
		switch e := e.(type) {
		case dispatch.ServeLocal:
			r.cached = e.Cached
		case dispatch.Redirect:
			if p.fleet.engines[e.Engine].up {
				r.route.Follow(e)
				return true
			}
		}
	}
	return false
}

// submitTo passes the request to the admission controller and reports whether it
// was not spilled to another engine.
func (p *admittingPlacer) submitTo(r *request, hop dispatch.Hop, st *engineState) bool {
	weight := 8
	if r.class(p.fleet.d) == "batch" {
		weight = 1
	}
	st.requests[r.id] = r
	effects := st.controller.Handle(desk.Arrived{
		Request:      desk.NewRequest(r.id, r.workspaceName(), desk.WithClass(r.class(p.fleet.d), weight, queueLimit, queueDeadline)),
		Pool:         p.pool(st),
		Alternatives: p.alternatives(st, r),
		Last:         hop.Last(),
		Uncached:     p.balance && r.turn == 0 && !hop.NoRedirect(),
		LocalityWait: p.localityWaitOf(r),
	})
	if spill, ok := effects[0].(desk.Spill); ok {
		delete(st.requests, r.id)
		st.cacheIndex.Handle(dispatch.Spilled{Chat: r.chatKey(), Engine: spill.Engine})
		r.route.Spill(spill.Engine)
		p.apply(st, effects[1:])
		return false
	}
	p.apply(st, effects)
	return true
}

func (p *admittingPlacer) apply(st *engineState, effects []desk.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case desk.Admit:
			r := st.requests[e.ID]
			r.admitter = st
			st.cacheIndex.Handle(dispatch.Admitted{Chat: r.chatKey()})
			p.fleet.recordEngine(r, st.engine.name)
			p.fleet.start(r, st.engine)
		case desk.Resubmit:
			r := st.requests[e.ID]
			r.resubmitted = true
			p.submit(r)
		case desk.Reject:
			delete(st.requests, e.ID)
			p.fleet.reject()
		}
	}
}

// localityWaitOf returns how long a returning chat waits at most for the engine
// that has its prompt cached.
func (p *admittingPlacer) localityWaitOf(r *request) time.Duration {
	if r.resubmitted || !r.cached {
		return 0
	}
	if p.capAtPrefill {
		return min(p.localityWait, time.Duration(p.fleet.prefixTokensOf(r))*p.fleet.d.prefillPerToken)
	}
	return p.localityWait
}

func (p *admittingPlacer) alternatives(st *engineState, r *request) []desk.Alternative {
	view := p.routerOf(st)
	var out []desk.Alternative
	for _, name := range r.route.Alternatives() {
		e := p.fleet.engines[name]
		if view.engines[name] {
			out = append(out, desk.NewAlternative(name, p.loadOf(st, view, e), p.fleet.d.slots))
		}
	}
	return out
}

func (p *admittingPlacer) tick() {
	for _, st := range p.sortedStates() {
		if st.controller.Waiting() > 0 {
			p.apply(st, st.controller.Handle(desk.PoolChanged{Pool: p.pool(st)}))
			p.apply(st, st.controller.Handle(desk.Tick{}))
		}
	}
}

// report passes every engine state the delayed load report of its engine.
func (p *admittingPlacer) report() {
	for _, st := range p.sortedStates() {
		load := st.engine.assigned
		if n := len(st.engine.loadHistory); n > 0 {
			load = st.engine.loadHistory[n-1]
		}
		p.apply(st, st.controller.Handle(desk.LoadReported{InFlight: load, Age: reportLag}))
	}
}

func (p *admittingPlacer) finished(r *request) {
	delete(r.admitter.requests, r.id)
	p.apply(r.admitter, r.admitter.controller.Handle(desk.Finished{ID: r.id}))
}

// routerReplaced drops the engine states of a router and resubmits the requests
// queued there.
func (p *admittingPlacer) routerReplaced(name string) {
	for _, st := range p.sortedStates() {
		if st.router != name {
			continue
		}
		delete(p.states, name+"/"+st.engine.name)
		for _, r := range queuedRequests(st) {
			r.route = dispatch.NewRoute(p.fleet.rank(r), "")
			p.submit(r)
		}
	}
}

func queuedRequests(st *engineState) []*request {
	var out []*request
	for _, r := range st.requests {
		if r.engine == nil {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return out
}
