package office

import (
	"time"

	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/dispatch"
)

// relayedLoads is the number of loads that a relay carries.
const relayedLoads = 16

// noteOwnLoads puts the present loads of the engines that this router admits
// for among those that it knows.
func (o *Router) noteOwnLoads() {
	now := o.clock.Now()
	for _, p := range o.posts.all() {
		if o.owns(p.engine) {
			o.loads.Put(dispatch.NewLoad(p.engine, p.desk.Load(), p.health.Condition(), now))
		}
	}
}

// loadsFor returns what this router knows of the engines that a request may
// come to next.
func (o *Router) loadsFor(q courier.RelayRequest) []courier.Load {
	o.noteOwnLoads()
	now := o.clock.Now()
	out := make([]courier.Load, 0, relayedLoads)
	for _, name := range q.Others[:min(relayedLoads, len(q.Others))] {
		if l, ok := o.loads.Get(name, now); ok && l.Condition() == dispatch.Up {
			out = append(out, newLoad(l, now))
		}
	}
	return out
}

// OwnLoads returns the loads of the engines that this router admits for.
func (o *Router) OwnLoads() []courier.Load {
	now := o.clock.Now()
	var out []courier.Load
	for _, p := range o.posts.all() {
		if o.owns(p.engine) && p.health.Condition() == dispatch.Up {
			out = append(out, newLoad(dispatch.NewLoad(p.engine, p.desk.Load(), dispatch.Up, now), now))
		}
	}
	return out
}

func newLoad(l dispatch.Load, now time.Time) courier.Load {
	return courier.Load{Target: l.Target(), InFlight: l.InFlight(), AgeMS: now.Sub(l.ObservedAt()).Milliseconds()}
}

// takeLoads takes the loads of a relay or its answer.
func (o *Router) takeLoads(loads []courier.Load) {
	now := o.clock.Now()
	for _, l := range loads {
		at := now.Add(-time.Duration(l.AgeMS) * time.Millisecond)
		if o.condition(l.Target) == dispatch.Up {
			o.loads.Put(dispatch.NewLoad(l.Target, l.InFlight, dispatch.Up, at))
		}
	}
}
