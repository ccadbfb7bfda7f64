package placement

import (
	"slices"
	"time"

	"vanillalug.example"
	"vanillalug.example/desk"
	"vanillalug.example/dispatch"
)

// engineState is the state of one engine at the router that admits for it, with
// the admission controller and cache index of the product.
type engineState struct {
	router     string
	engine     *engine
	controller *desk.Controller
	cacheIndex *dispatch.CacheIndex
	// requests are those queued or in flight, by id.
	requests map[string]*request
}

// state returns the state of an engine at a router. A new state starts with the
// engine's load and receives its cached chats later.
func (p *admittingPlacer) state(router string, e *engine) *engineState {
	key := router + "/" + e.name
	if st, ok := p.states[key]; ok {
		return st
	}
	st := &engineState{
		router: router, engine: e, controller: desk.New(p.fleet.clock, p.fleet.d.slots),
		cacheIndex: dispatch.NewCacheIndex(dispatch.DefaultIndexedChats), requests: map[string]*request{},
	}
	p.states[key] = st
	p.apply(st, st.controller.Handle(desk.LoadReported{InFlight: e.assigned, Age: 0}))
	p.fleet.clock.After(2*time.Second, func(time.Time) { p.sync(st) })
	p.fleet.addBytes("cache", float64(len(e.entries)*20))
	return st
}

// sync passes the list of cached chats to the cache index, some time after the
// state was created.
func (p *admittingPlacer) sync(st *engineState) {
	chats := dispatch.CacheSynced{}
	for chat := range st.engine.entries {
		chats.Chats = append(chats.Chats, vanillalug.ChatKey(chat))
	}
	slices.Sort(chats.Chats)
	st.cacheIndex.Handle(chats)
}

func (p *admittingPlacer) pool(st *engineState) desk.Pool {
	up, load := 0, 0
	r := p.routerOf(st)
	for _, e := range p.fleet.engines {
		if !r.engines[e.name] {
			continue
		}
		up++
		load += p.loadOf(st, r, e)
	}
	return desk.NewPool(up, load, bound, boundFloor)
}

// loadOf returns the load of an engine. It is exact if the same router admits
// for it, and delayed otherwise.
func (p *admittingPlacer) loadOf(st *engineState, r *router, e *engine) int {
	if own, ok := p.states[st.router+"/"+e.name]; ok {
		return own.controller.Load()
	}
	return p.fleet.delayedLoad(r, e)
}

func (p *admittingPlacer) routerOf(st *engineState) *router {
	for _, r := range p.fleet.routers {
		if r.name == st.router {
			return r
		}
	}
	return p.fleet.routers[0]
}

// sortedStates returns the engine states in a fixed order.
func (p *admittingPlacer) sortedStates() []*engineState {
	var keys []string
	for key := range p.states {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	out := make([]*engineState, 0, len(keys))
	for _, key := range keys {
		out = append(out, p.states[key])
	}
	return out
}
