package office

import (
	"time"

	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/dispatch"
)

// maxRelayedLoads is the maximum number of loads that a relay carries.
const maxRelayedLoads = 16

// updateOwnLoads updates the load view with the current loads of the engines that
// this router admits for.
func (r *Router) updateOwnLoads() {
	now := r.clock.Now()
	for _, es := range r.engineStates.all() {
		if r.owns(es.engine) {
			r.loads.Put(dispatch.NewLoad(es.engine, es.admission.Load(), es.health.Condition(), now))
		}
	}
}

// loadsFor returns the cached loads of the engines that a request may be sent to
// next.
func (r *Router) loadsFor(q courier.RelayRequest) []courier.Load {
	r.updateOwnLoads()
	now := r.clock.Now()
	out := make([]courier.Load, 0, maxRelayedLoads)
	for _, name := range q.Others[:min(maxRelayedLoads, len(q.Others))] {
		if l, ok := r.loads.Get(name, now); ok && l.Condition() == dispatch.Up {
			out = append(out, newLoad(l, now))
		}
	}
	return out
}

// OwnLoads returns the loads of the engines that this router admits for.
func (r *Router) OwnLoads() []courier.Load {
	now := r.clock.Now()
	var out []courier.Load
	for _, es := range r.engineStates.all() {
		if r.owns(es.engine) && es.health.Condition() == dispatch.Up {
			out = append(out, newLoad(dispatch.NewLoad(es.engine, es.admission.Load(), dispatch.Up, now), now))
		}
	}
	return out
}

func newLoad(l dispatch.Load, now time.Time) courier.Load {
	return courier.Load{Target: l.Target(), InFlight: l.InFlight(), AgeMS: now.Sub(l.ObservedAt()).Milliseconds()}
}

// recordLoads records the loads that a relay request or its response carried.
func (r *Router) recordLoads(loads []courier.Load) {
	now := r.clock.Now()
	for _, l := range loads {
		at := now.Add(-time.Duration(l.AgeMS) * time.Millisecond)
		if r.condition(l.Target) == dispatch.Up {
			r.loads.Put(dispatch.NewLoad(l.Target, l.InFlight, dispatch.Up, at))
		}
	}
}
