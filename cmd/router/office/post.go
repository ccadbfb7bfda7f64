package office

import (
	"sync"
	"time"

	"vanillalug.example/desk"
	"vanillalug.example/dispatch"
	"vanillalug.example/schedule"
)

// post is all that this router holds for one engine that it admits for.
type post struct {
	engine string
	desk   *desk.Controller
	keeper *dispatch.CacheIndex
	health *dispatch.Health

	clock schedule.Clock

	mu       sync.Mutex
	armed    time.Time
	waiters  map[string]chan desk.Effect
	ready    chan struct{}
	once     sync.Once
	uptime   time.Duration
	events   uint64
	syncing  bool
	lastUsed time.Time
}

// markReady says that the engine has been asked for its load at least once.
func (p *post) markReady() { p.once.Do(func() { close(p.ready) }) }

// await registers a request, whose answers come over the channel.
func (p *post) await(id string) chan desk.Effect {
	c := make(chan desk.Effect, 8)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiters[id] = c
	return c
}

func (p *post) forget(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, id)
}

// handle gives an event to the desk and its answers to those who wait.
func (p *post) handle(ev desk.Event) {
	for _, e := range p.desk.Handle(ev) {
		p.deliver(e)
	}
	p.arm()
}

// arm subscribes to the time at which the next waiting request is due.
func (p *post) arm() {
	due, ok := p.desk.NextDue()
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.armed.IsZero() && !due.Before(p.armed) {
		return
	}
	p.armed = due
	p.clock.After(due.Sub(p.clock.Now()), func(time.Time) {
		p.mu.Lock()
		p.armed = time.Time{}
		p.mu.Unlock()
		p.handle(desk.Tick{})
	})
}

func (p *post) deliver(e desk.Effect) {
	p.mu.Lock()
	c, ok := p.waiters[requestOf(e)]
	p.mu.Unlock()
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

// touch notes that a request used the post.
func (p *post) touch(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = now
}

// idleSince returns when the post was last used.
func (p *post) idleSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastUsed
}

// beginSync reports whether the caller may read the cache events now. Only one
// may at a time.
func (p *post) beginSync() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.syncing {
		return false
	}
	p.syncing = true
	return true
}

func (p *post) endSync() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.syncing = false
}
