package desk

import (
	"sync"
	"time"

	"vanillalug.example/schedule"
)

// Controller admits requests to one engine. It is safe for concurrent use.
type Controller struct {
	mu       sync.Mutex
	clock    schedule.Clock
	opts     options
	slots    int
	closed   bool
	pool     Pool
	running  map[string]Request
	usages   usages
	queue    *queue
	changes  changeLog
	foreign  int
	reported time.Time
	rate     rate
}

// New returns the Desk of an engine that runs up to slots requests at once.
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

// Handle takes an event and returns the answers that follow from it, which
// may be about other requests that were waiting.
func (d *Controller) Handle(ev Event) []Effect {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	switch e := ev.(type) {
	case Arrived:
		return d.arrive(now, e)
	case Adopted:
		d.admit(now, e.Request, 0)
	case Finished:
		return d.finished(now, e.ID)
	case Canceled:
		d.queue.remove(func(w waiting) bool { return w.request.id == e.ID })
	case LoadReported:
		d.reportedLoad(now, e)
		return d.drain(now)
	case PoolChanged:
		d.pool = e.Pool
		return d.drain(now)
	case Resized:
		d.slots = e.Slots
		d.closed = false
		return d.drain(now)
	case Closed:
		return d.close()
	case Tick:
		return d.tick(now)
	}
	return nil
}

// Load returns the number of requests in flight at the engine, those that
// other routers admitted included.
func (d *Controller) Load() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.load(d.clock.Now())
}

// Waiting returns the number of requests in the queue.
func (d *Controller) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.size
}

// NextDue returns when the next waiting request loses its patience or reaches
// its deadline. A Tick is due then.
func (d *Controller) NextDue() (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.nextDue()
}

// Idle reports whether no request of this desk is running or waiting.
func (d *Controller) Idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.running) == 0 && d.queue.size == 0
}

func (d *Controller) arrive(now time.Time, e Arrived) []Effect {
	r := e.Request
	d.pool = e.Pool
	if d.closed {
		return []Effect{d.refuse(r, EngineClosed)}
	}
	d.usages.touch(now, r.workspace, r.share)
	if engine, ok := d.lessLoaded(now, e); ok {
		return []Effect{Spill{ID: r.id, Engine: engine}}
	}
	if d.queue.size == 0 && d.hasRoom(now, r) {
		return []Effect{d.admit(now, r, 0)}
	}
	engine, ok := d.roomElsewhere(e)
	if ok && e.LocalityWait == 0 {
		return []Effect{Spill{ID: r.id, Engine: engine}}
	}
	patient := time.Time{}
	if ok {
		patient = now.Add(e.LocalityWait)
	}
	return d.enqueue(now, r, patient)
}

// lessLoaded returns the first engine below the mean load for a fresh chat, if
// this one is above it. Fresh chats even out the load, so that returning chats
// find room where their prompt is cached. Since each chat has an order of its
// own, chats do not all go to the same engine.
func (d *Controller) lessLoaded(now time.Time, e Arrived) (string, bool) {
	mean := e.Pool.mean()
	if !e.Uncached || e.Last || float64(d.load(now)+d.queue.size) < mean+balanceSlack {
		return "", false
	}
	for _, a := range e.Alternatives {
		if float64(a.load) < mean-balanceSlack {
			return a.engine, true
		}
	}
	return "", false
}

// roomElsewhere returns the first alternative under the bound of the pool.
func (d *Controller) roomElsewhere(e Arrived) (string, bool) {
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

func (d *Controller) enqueue(now time.Time, r Request, patient time.Time) []Effect {
	waiting := waiting{request: r, arrived: now, deadline: now.Add(r.deadline), patient: patient}
	if d.queue.waitingIn(r.class) >= r.limit {
		return []Effect{d.refuse(r, QueueFull)}
	}
	if d.rate.timeFor(d.queue.waitingIn(r.class)) > r.deadline {
		return []Effect{d.refuse(r, QueueTooSlow)}
	}
	d.queue.push(waiting)
	out := []Effect{Wait{ID: r.id}}
	return append(out, d.drain(now)...)
}

func (d *Controller) finished(now time.Time, id string) []Effect {
	r, ok := d.running[id]
	if !ok {
		return nil
	}
	delete(d.running, id)
	if u, ok := d.usages[r.workspace]; ok {
		u.running--
	}
	d.changes.add(now, -1)
	d.rate.finished(now, d.queue.size > 0)
	return d.drain(now)
}

// drain admits waiting requests while there is room for any of them.
func (d *Controller) drain(now time.Time) []Effect {
	var out []Effect
	for !d.closed {
		w, ok := d.queue.pop(func(r Request) bool { return d.hasRoom(now, r) })
		if !ok {
			return out
		}
		out = append(out, d.admit(now, w.request, now.Sub(w.arrived)))
	}
	return out
}

func (d *Controller) admit(now time.Time, r Request, waited time.Duration) Effect {
	d.running[r.id] = r
	d.usages.touch(now, r.workspace, r.share)
	d.usages[r.workspace].running++
	d.changes.add(now, 1)
	return Admit{ID: r.id, Waited: waited}
}

func (d *Controller) tick(now time.Time) []Effect {
	var out []Effect
	for _, w := range d.queue.remove(func(w waiting) bool { return !now.Before(w.deadline) }) {
		out = append(out, d.refuse(w.request, QueueDeadline))
	}
	d.usages.expire(now)
	d.queue.forgetIdle()
	out = append(out, d.drain(now)...)
	for _, w := range d.queue.remove(func(w waiting) bool { return w.impatient(now) }) {
		out = append(out, Resubmit{ID: w.request.id})
	}
	return out
}

func (d *Controller) close() []Effect {
	d.closed = true
	var out []Effect
	for _, w := range d.queue.remove(func(waiting) bool { return true }) {
		out = append(out, d.refuse(w.request, EngineClosed))
	}
	return out
}

// refuse spreads the callers over the time that the queue needs.
func (d *Controller) refuse(r Request, reason Reason) Effect {
	wait := max(minRetryAfter, d.rate.timeFor(d.queue.waitingIn(r.class)))
	spread := time.Duration((1 + d.opts.random()) * float64(wait))
	return Reject{ID: r.id, Reason: reason, RetryAfter: min(spread, maxRetryAfter)}
}
