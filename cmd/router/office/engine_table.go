package office

import (
	"sync"

	"vanillalug.example/desk"
	"vanillalug.example/dispatch"
)

// engineTable holds the states of the engines that this router admits for.
type engineTable struct {
	mu     sync.RWMutex
	states map[string]*engineState
}

func (t *engineTable) get(engine string) (*engineState, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	es, ok := t.states[engine]
	return es, ok
}

// getOrAdd returns the state of the engine; added reports whether it is new.
func (t *engineTable) getOrAdd(engine string, make func() *engineState) (es *engineState, added bool) {
	if es, ok := t.get(engine); ok {
		return es, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if es, ok := t.states[engine]; ok {
		return es, false
	}
	if t.states == nil {
		t.states = map[string]*engineState{}
	}
	es = make()
	t.states[engine] = es
	return es, true
}

func (t *engineTable) remove(engine string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.states, engine)
}

func (t *engineTable) all() []*engineState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make([]*engineState, 0, len(t.states))
	for _, es := range t.states {
		out = append(out, es)
	}
	return out
}

func newEngineState(r *Router, engine string, slots int) *engineState {
	health := dispatch.NewHealth(r.clock)
	health.SetLeaving(dispatch.ByPlatform, r.targets.isLeaving(engine))
	return &engineState{
		engine:     engine,
		clock:      r.clock,
		admission:  desk.New(r.clock, slots),
		cacheIndex: dispatch.NewCacheIndex(r.opts.indexedChats),
		health:     health,
		waiters:    map[string]chan desk.Effect{},
		ready:      make(chan struct{}),
	}
}
