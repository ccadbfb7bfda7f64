package office

import (
	"sync"
	"time"

	"vanillalug.example/desk"
	"vanillalug.example/dispatch"
	"vanillalug.example/schedule"
)

// engineState holds the admission controller, the cache index and the health check
// of one engine that this router admits for.
type engineState struct {
	engine     string
	admission  *desk.Controller
	cacheIndex *dispatch.CacheIndex
	health     *dispatch.Health

	clock schedule.Clock

	mu        sync.Mutex
	tickAt    time.Time
	waiters   map[string]chan desk.Effect
	ready     chan struct{}
	readyOnce sync.Once
	uptime    time.Duration
	lastEvent uint64
	syncing   bool
	lastUsed  time.Time

	// evacuated is guarded by evacuations.mu of the router.
	evacuated bool
}

// markReady marks that the engine was polled for its load at least once.
func (es *engineState) markReady() { es.readyOnce.Do(func() { close(es.ready) }) }

// subscribe returns a channel for the decisions on a request.
func (es *engineState) subscribe(id string) chan desk.Effect {
	c := make(chan desk.Effect, 8)
	es.mu.Lock()
	defer es.mu.Unlock()
	es.waiters[id] = c
	return c
}

func (es *engineState) stopWaiting(id string) {
	es.mu.Lock()
	defer es.mu.Unlock()
	delete(es.waiters, id)
}

// handle passes an event to the admission controller and delivers its decisions to
// the waiting requests.
func (es *engineState) handle(ev desk.Event) {
	for _, e := range es.admission.Handle(ev) {
		es.deliver(e)
	}
	es.scheduleTick()
}

// scheduleTick schedules a tick for the time at which the next queued request is
// due.
func (es *engineState) scheduleTick() {
	due, ok := es.admission.NextDue()
	if !ok {
		return
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	if !es.tickAt.IsZero() && !due.Before(es.tickAt) {
		return
	}
	es.tickAt = due
	es.clock.After(due.Sub(es.clock.Now()), func(time.Time) {
		es.mu.Lock()
		es.tickAt = time.Time{}
		es.mu.Unlock()
		es.handle(desk.Tick{})
	})
}

func (es *engineState) deliver(e desk.Effect) {
	es.mu.Lock()
	c, ok := es.waiters[requestOf(e)]
	es.mu.Unlock()
	if ok {
		c <- e
	}
}

func requestOf(e desk.Effect) string {
	switch e := e.(type) {
	case desk.Admit:
		return e.ID
	case desk.Wait:
		return e.ID
	case desk.Spill:
		return e.ID
	case desk.Resubmit:
		return e.ID
	case desk.Reject:
		return e.ID
	}
	return ""
}

// markUsed records the time of the last request.
func (es *engineState) markUsed(now time.Time) {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.lastUsed = now
}

// idleSince returns the time of the last request.
func (es *engineState) idleSince() time.Time {
	es.mu.Lock()
	defer es.mu.Unlock()
	return es.lastUsed
}

// beginSync reports whether the caller may read the cache events now. Reads do not
// run concurrently.
func (es *engineState) beginSync() bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	if es.syncing {
		return false
	}
	es.syncing = true
	return true
}

func (es *engineState) endSync() {
	es.mu.Lock()
	defer es.mu.Unlock()
	es.syncing = false
}
