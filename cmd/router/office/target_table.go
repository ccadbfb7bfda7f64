package office

import (
	"sync"

	"vanillalug.example/dispatch"
	"vanillalug.example/schedule"
)

// targetTable holds what this router knows of the workers of application
// services.
type targetTable struct {
	mu       sync.Mutex
	healths  map[string]*dispatch.Health
	listed   map[string]bool
	inFlight map[string]int
}

// health returns the health of a worker that this router watches.
func (t *targetTable) health(clock schedule.Clock, name string) *dispatch.Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.healths == nil {
		t.healths = map[string]*dispatch.Health{}
	}
	h, ok := t.healths[name]
	if !ok {
		h = dispatch.NewHealth(clock)
		h.SetLeaving(dispatch.ByPlatform, t.listed[name])
		t.healths[name] = h
	}
	return h
}

// setListed takes the platform's word that a target is leaving.
func (t *targetTable) setListed(name string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listed == nil {
		t.listed = map[string]bool{}
	}
	t.listed[name] = leaving
	if h, ok := t.healths[name]; ok {
		h.SetLeaving(dispatch.ByPlatform, leaving)
	}
}

// isListedLeaving reports the platform's word of a target.
func (t *targetTable) isListedLeaving(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listed[name]
}

// begin counts a call to a worker; the returned function ends it.
func (t *targetTable) begin(name string) (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.inFlight == nil {
		t.inFlight = map[string]int{}
	}
	t.inFlight[name]++
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.inFlight[name]--
	}
}

func (t *targetTable) load(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight[name]
}
