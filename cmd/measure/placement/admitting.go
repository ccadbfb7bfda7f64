package placement

import (
	"cmp"
	"slices"
	"time"

	"vanillalug.example"
	"vanillalug.example/desk"
	"vanillalug.example/dispatch"
)

const (
	queueLimit    = 256
	queueDeadline = 20 * time.Second
)

// post is what an admitting router holds for an engine: the decisions that
// the product runs.
type post struct {
	router string
	engine *engine
	desk   *desk.Controller
	keeper *dispatch.CacheIndex
	open   map[string]*request
}

// admittingPlacer asks the admitting routers.
type admittingPlacer struct {
	fleet    *fleet
	posts    map[string]*post
	balance  bool
	patience time.Duration
	coldCost bool
}

func newAdmittingPlacer(f *fleet) *admittingPlacer {
	p := &admittingPlacer{fleet: f, posts: map[string]*post{}}
	if w, ok := f.c.way.(Admitting); ok {
		p.balance = w.Balance
		p.patience = w.LocalityWait
		p.coldCost = w.CapAtPrefill
	}
	f.clock.Every(tickPeriod, func(time.Time) { p.tick() })
	f.clock.Every(reportPeriod, func(time.Time) { p.report() })
	return p
}

func (p *admittingPlacer) place(r *request) {
	ranked := p.fleet.rank(r)
	r.route = dispatch.NewRoute(ranked, "")
	p.ask(r)
}

// ask brings a request from post to post until one admits or queues it.
func (p *admittingPlacer) ask(r *request) {
	for {
		hop, ok := r.route.Hop()
		if !ok {
			p.fleet.refuse()
			return
		}
		e := p.fleet.engines[hop.Engine()]
		if !e.up {
			r.route.Fail()
			continue
		}
		at := p.post(p.fleet.owner(p.fleet.routers[r.router], e.name), e)
		if p.followed(r, hop, at) {
			continue
		}
		if p.decided(r, hop, at) {
			return
		}
	}
}

// followed asks the keeper and reports whether it sent the request on.
func (p *admittingPlacer) followed(r *request, hop dispatch.Hop, at *post) bool {
	if _, ok := p.fleet.c.memory.(CacheIndexAffinity); !ok {
		r.cached = r.turn > 0
		return false
	}
	ask := dispatch.Lookup{
		Chat: r.key(), Returning: r.turn > 0, Next: r.route.Next(), Home: hop.Home(),
		Speculative: hop.Speculative(), CanForward: hop.CanForward(), NoRedirect: hop.NoRedirect() || hop.Last(),
	}
	r.cached = false
	for _, e := range at.keeper.Handle(ask) {
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

// decided brings the request to the desk and reports whether it stays there.
func (p *admittingPlacer) decided(r *request, hop dispatch.Hop, at *post) bool {
	weight := 8
	if r.class(p.fleet.d) == "batch" {
		weight = 1
	}
	at.open[r.id] = r
	effects := at.desk.Handle(desk.Arrived{
		Request:      desk.NewRequest(r.id, r.workspaceName(), desk.WithClass(r.class(p.fleet.d), weight, queueLimit, queueDeadline)),
		Pool:         p.pool(at),
		Alternatives: p.alternatives(at, r),
		Last:         hop.Last(),
		Uncached:     p.balance && r.turn == 0 && !hop.NoRedirect(),
		LocalityWait: p.patienceOf(r),
	})
	if spill, ok := effects[0].(desk.Spill); ok {
		delete(at.open, r.id)
		at.keeper.Handle(dispatch.Spilled{Chat: r.key(), Engine: spill.Engine})
		r.route.Spill(spill.Engine)
		p.carry(at, effects[1:])
		return false
	}
	p.carry(at, effects)
	return true
}

func (p *admittingPlacer) carry(at *post, effects []desk.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case desk.Admit:
			r := at.open[e.ID]
			r.post = at
			at.keeper.Handle(dispatch.Admitted{Chat: r.key()})
			p.fleet.remember(r, at.engine.name)
			p.fleet.start(r, at.engine)
		case desk.Resubmit:
			r := at.open[e.ID]
			r.impatient = true
			p.ask(r)
		case desk.Reject:
			delete(at.open, e.ID)
			p.fleet.refuse()
		}
	}
}

// patienceOf returns how long a returning chat had better wait for an engine
// that has its prompt.
func (p *admittingPlacer) patienceOf(r *request) time.Duration {
	if r.impatient || !r.cached {
		return 0
	}
	if p.coldCost {
		return min(p.patience, time.Duration(p.fleet.prefixOf(r))*p.fleet.d.prefill)
	}
	return p.patience
}

// post returns the post of an engine at a router. A new one asks the engine
// for its load and for what it has cached.
func (p *admittingPlacer) post(router string, e *engine) *post {
	key := router + "/" + e.name
	if at, ok := p.posts[key]; ok {
		return at
	}
	at := &post{
		router: router, engine: e, desk: desk.New(p.fleet.clock, p.fleet.d.slots),
		keeper: dispatch.NewCacheIndex(dispatch.DefaultIndexedChats), open: map[string]*request{},
	}
	p.posts[key] = at
	p.carry(at, at.desk.Handle(desk.LoadReported{InFlight: e.assigned, Age: 0}))
	p.fleet.clock.After(2*time.Second, func(time.Time) { p.sync(at) })
	p.fleet.addBytes("cache", float64(len(e.chats)*20))
	return at
}

// sync gives the keeper the list of cached chats, which is late.
func (p *admittingPlacer) sync(at *post) {
	chats := dispatch.CacheSynced{}
	for chat := range at.engine.chats {
		chats.Chats = append(chats.Chats, vanillalug.ChatKey(chat))
	}
	slices.Sort(chats.Chats)
	at.keeper.Handle(chats)
}

func (p *admittingPlacer) pool(at *post) desk.Pool {
	up, load := 0, 0
	r := p.routerOf(at)
	for _, e := range p.fleet.engines {
		if !r.engines[e.name] {
			continue
		}
		up++
		load += p.seen(at, r, e)
	}
	return desk.NewPool(up, load, bound, boundFloor)
}

// seen is the load of an engine: exact where the same router admits for it.
func (p *admittingPlacer) seen(at *post, r *router, e *engine) int {
	if own, ok := p.posts[at.router+"/"+e.name]; ok {
		return own.desk.Load()
	}
	return p.fleet.seenLoad(r, e)
}

func (p *admittingPlacer) routerOf(at *post) *router {
	for _, r := range p.fleet.routers {
		if r.name == at.router {
			return r
		}
	}
	return p.fleet.routers[0]
}

func (p *admittingPlacer) alternatives(at *post, r *request) []desk.Alternative {
	believer := p.routerOf(at)
	var out []desk.Alternative
	for _, name := range r.route.Alternatives() {
		e := p.fleet.engines[name]
		if believer.engines[name] {
			out = append(out, desk.NewAlternative(name, p.seen(at, believer, e), p.fleet.d.slots))
		}
	}
	return out
}

// ordered returns the posts in a fixed order.
func (p *admittingPlacer) ordered() []*post {
	var keys []string
	for key := range p.posts {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	out := make([]*post, 0, len(keys))
	for _, key := range keys {
		out = append(out, p.posts[key])
	}
	return out
}

func (p *admittingPlacer) tick() {
	for _, at := range p.ordered() {
		if at.desk.Waiting() > 0 {
			p.carry(at, at.desk.Handle(desk.PoolChanged{Pool: p.pool(at)}))
			p.carry(at, at.desk.Handle(desk.Tick{}))
		}
	}
}

// report gives every post the lagging report of its engine.
func (p *admittingPlacer) report() {
	for _, at := range p.ordered() {
		load := at.engine.assigned
		if n := len(at.engine.history); n > 0 {
			load = at.engine.history[n-1]
		}
		p.carry(at, at.desk.Handle(desk.LoadReported{InFlight: load, Age: reportLag}))
	}
}

func (p *admittingPlacer) finished(r *request) {
	delete(r.post.open, r.id)
	p.carry(r.post, r.post.desk.Handle(desk.Finished{ID: r.id}))
}

// routerReplaced loses the posts of a router. What waits there is asked again.
func (p *admittingPlacer) routerReplaced(name string) {
	for _, at := range p.ordered() {
		if at.router != name {
			continue
		}
		delete(p.posts, name+"/"+at.engine.name)
		for _, r := range waitingOf(at) {
			r.route = dispatch.NewRoute(p.fleet.rank(r), "")
			p.ask(r)
		}
	}
}

func waitingOf(at *post) []*request {
	var out []*request
	for _, r := range at.open {
		if r.engine == nil {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return out
}
