package office

import (
	"sync"

	"vanillalug.example/dispatch"
	"vanillalug.example/schedule"
)

// targetTable holds the health checks and the calls in flight of the workers of
// application services.
type targetTable struct {
	mu           sync.Mutex
	healthChecks map[string]*dispatch.Health
	leaving      map[string]bool
	inFlight     map[string]int
}

// health returns the health check of a worker that this router polls.
func (t *targetTable) health(clock schedule.Clock, name string) *dispatch.Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.healthChecks == nil {
		t.healthChecks = map[string]*dispatch.Health{}
	}
	h, ok := t.healthChecks[name]
	if !ok {
		h = dispatch.NewHealth(clock)
		h.SetLeaving(dispatch.ByPlatform, t.leaving[name])
		t.healthChecks[name] = h
	}
	return h
}

// setLeaving records whether the platform lists a target as leaving.
func (t *targetTable) setLeaving(name string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving == nil {
		t.leaving = map[string]bool{}
	}
	t.leaving[name] = leaving
	if h, ok := t.healthChecks[name]; ok {
		h.SetLeaving(dispatch.ByPlatform, leaving)
	}
}

// isLeaving reports whether the platform lists a target as leaving.
func (t *targetTable) isLeaving(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving[name]
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

func (t *targetTable) requestsInFlight(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight[name]
}
