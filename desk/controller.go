package desk

import (
	"sync"
	"time"

	"vanillalug.example/schedule"
)

// Controller admits requests to one engine. It is safe for concurrent use.
type Controller struct {
	mu        sync.Mutex
	clock     schedule.Clock
	opts      options
	slots     int
	closed    bool
	pool      Pool
	running   map[string]Request
	usages    usages
	queue     *queue
	changes   changeLog
	external  int
	reported  time.Time
	drainRate drainRate
}

// New returns the Controller of an engine that runs up to slots requests at once.
func New(clock schedule.Clock, slots int, opts ...Option) *Controller {
	o := defaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	return &Controller{
		clock:   clock,
		opts:    o,
		slots:   slots,
		pool:    NewPool(1, 0, 1, slots),
		running: map[string]Request{},
		usages:  usages{},
		queue:   newQueue(),
	}
}

// Handle applies an event and returns the resulting effects, which may concern
// other requests that were queued.
func (c *Controller) Handle(ev Event) []Effect {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	switch e := ev.(type) {
	case Arrived:
		return c.arrived(now, e)
	case Adopted:
		c.admit(now, e.Request, 0)
	case Finished:
		return c.finished(now, e.ID)
	case Canceled:
		c.queue.remove(func(w queuedRequest) bool { return w.request.id == e.ID })
	case LoadReported:
		c.loadReported(now, e)
		return c.drain(now)
	case PoolChanged:
		c.pool = e.Pool
		return c.drain(now)
	case Resized:
		c.slots = e.Slots
		c.closed = false
		return c.drain(now)
	case Closed:
		return c.close()
	case Tick:
		return c.tick(now)
	}
	return nil
}

// Load returns the number of requests in flight at the engine, including those
// that other routers admitted.
func (c *Controller) Load() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.load(c.clock.Now())
}

// Running returns the number of requests that this Controller admitted and that have
// not finished.
func (c *Controller) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running)
}

// Waiting returns the number of requests in the queue.
func (c *Controller) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.size
}

// NextDue returns the earliest time at which a queued request reaches the end of
// its locality wait or its deadline. A Tick is due then.
func (c *Controller) NextDue() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.nextDue()
}

// Idle reports whether this Controller has no running and no queued requests.
func (c *Controller) Idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.running) == 0 && c.queue.size == 0
}

func (c *Controller) arrived(now time.Time, e Arrived) []Effect {
	r := e.Request
	c.pool = e.Pool
	if c.closed {
		return []Effect{c.reject(r, EngineClosed)}
	}
	c.usages.touch(now, r.workspace, r.share)
	if engine, ok := c.balanceTarget(now, e); ok {
		return []Effect{Spill{ID: r.id, Engine: engine}}
	}
	if c.queue.size == 0 && c.hasCapacity(now, r) {
		return []Effect{c.admit(now, r, 0)}
	}
	engine, ok := c.spillTarget(e)
	if ok && e.LocalityWait == 0 {
		return []Effect{Spill{ID: r.id, Engine: engine}}
	}
	spillAfter := time.Time{}
	if ok {
		spillAfter = now.Add(e.LocalityWait)
	}
	return c.enqueue(now, r, spillAfter)
}

// balanceTarget returns the first alternative below the mean load for an uncached
// request, if this engine is above the mean. Uncached requests balance the load,
// so that returning chats find capacity where their prompt is cached. Each chat
// has its own rendezvous order, so they do not all go to the same engine.
func (c *Controller) balanceTarget(now time.Time, e Arrived) (string, bool) {
	mean := e.Pool.mean()
	if !e.Uncached || e.Last || float64(c.load(now)+c.queue.size) < mean+balanceSlack {
		return "", false
	}
	for _, a := range e.Alternatives {
		if float64(a.load) < mean-balanceSlack {
			return a.engine, true
		}
	}
	return "", false
}

// spillTarget returns the first alternative below the load limit of the pool and
// its own slots.
func (c *Controller) spillTarget(e Arrived) (string, bool) {
	if e.Last {
		return "", false
	}
	limit := e.Pool.Limit()
	for _, a := range e.Alternatives {
		if a.load < min(limit, a.slots) {
			return a.engine, true
		}
	}
	return "", false
}

func (c *Controller) enqueue(now time.Time, r Request, spillAfter time.Time) []Effect {
	queued := queuedRequest{request: r, arrived: now, deadline: now.Add(r.deadline), spillAfter: spillAfter}
	if c.queue.waitingIn(r.class) >= r.limit {
		return []Effect{c.reject(r, QueueFull)}
	}
	if c.drainRate.timeFor(c.queue.waitingIn(r.class)) > r.deadline {
		return []Effect{c.reject(r, QueueTooSlow)}
	}
	c.queue.push(queued)
	out := []Effect{Wait{ID: r.id}}
	return append(out, c.drain(now)...)
}

func (c *Controller) finished(now time.Time, id string) []Effect {
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	delete(c.running, id)
	if u, ok := c.usages[r.workspace]; ok {
		u.running--
	}
	c.changes.add(now, -1)
	c.drainRate.finished(now, c.queue.size > 0)
	return c.drain(now)
}

// drain admits queued requests while there is capacity for any of them.
func (c *Controller) drain(now time.Time) []Effect {
	var out []Effect
	for !c.closed {
		w, ok := c.queue.pop(func(r Request) bool { return c.hasCapacity(now, r) })
		if !ok {
			return out
		}
		out = append(out, c.admit(now, w.request, now.Sub(w.arrived)))
	}
	return out
}

func (c *Controller) admit(now time.Time, r Request, waited time.Duration) Effect {
	c.running[r.id] = r
	c.usages.touch(now, r.workspace, r.share)
	c.usages[r.workspace].running++
	c.changes.add(now, 1)
	return Admit{ID: r.id, Waited: waited}
}

func (c *Controller) tick(now time.Time) []Effect {
	var out []Effect
	for _, w := range c.queue.remove(func(w queuedRequest) bool { return !now.Before(w.deadline) }) {
		out = append(out, c.reject(w.request, QueueDeadline))
	}
	c.usages.expire(now)
	c.queue.removeIdle()
	out = append(out, c.drain(now)...)
	for _, w := range c.queue.remove(func(w queuedRequest) bool { return w.shouldSpill(now) }) {
		out = append(out, Resubmit{ID: w.request.id})
	}
	return out
}

func (c *Controller) close() []Effect {
	c.closed = true
	var out []Effect
	for _, w := range c.queue.remove(func(queuedRequest) bool { return true }) {
		out = append(out, c.reject(w.request, EngineClosed))
	}
	return out
}

// reject spreads the retries of the callers: retry-after is drawn between one and
// two times the estimated time to drain the queue.
func (c *Controller) reject(r Request, reason Reason) Effect {
	wait := max(minRetryAfter, c.drainRate.timeFor(c.queue.waitingIn(r.class)))
	spread := time.Duration((1 + c.opts.random()) * float64(wait))
	return Reject{ID: r.id, Reason: reason, RetryAfter: min(spread, maxRetryAfter)}
}
