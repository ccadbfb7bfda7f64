package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/crew"
	"vanillalug.example/evacuation"
	"vanillalug.example/fitting"
	"vanillalug.example/platform"
)

const (
	// evacuationsTimeout is how long a router that has a routing table waits to learn what is
	// evacuated. Peers of an older build can't tell, and the store may reject just this router.
	evacuationsTimeout = 5 * time.Second
	// evacuatedRetryAfter is the Retry-After of a service with targets in evacuated failure
	// domains only. Operators take a domain back after minutes at the earliest.
	evacuatedRetryAfter = 2 * time.Second
)

// evacuations holds what this router knows of evacuated failure domains. It is safe for concurrent
// use. Gateway.viewMu may be locked while mu is held, not the other way round.
type evacuations struct {
	mu    sync.Mutex
	state *evacuation.State
	// newsOffset is where the next datagram begins if the news don't fit into one.
	newsOffset int
	// waitingSince is when this router had a routing table and didn't know what is evacuated; only
	// maintain uses it.
	waitingSince time.Time

	// places has those that are evacuated, and known says that this router has learnt all of them
	// or waits no longer.
	places atomic.Pointer[map[string]bool]
	known  atomic.Bool
}

// has reports whether a failure domain is evacuated.
func (e *evacuations) has(place string) bool {
	places := e.places.Load()
	return places != nil && (*places)[place]
}

func (e *evacuations) completeAt(revision vanillalug.StoreRevision) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.CompleteAt(revision)
}

// applyTableSnapshot applies all rows of the operator's table. Evacuations come first, so that the
// routing table isn't used without them.
func (g *Gateway) applyTableSnapshot(rows platform.Rows) {
	g.handleEvacuations(evacuation.Read{
		At: g.clock.Now(), Revision: rows.Revision(), Statements: platform.DecodeEvacuations(rows),
	}, sourceStore)
	g.applyTableRows(rows)
}

// applyTableChanges applies changed rows of the operator's table.
func (g *Gateway) applyTableChanges(rows platform.Rows) {
	g.handleEvacuations(evacuation.Changes{
		At: g.clock.Now(), Revision: rows.Revision(), Statements: platform.DecodeEvacuations(rows),
	}, sourceStore)
	g.applyTableRows(rows)
}

// Sources of changes, for the log.
const (
	sourceStore = "store"
	// sourceTimeout is for evacuations that a restored store lacks.
	sourceTimeout = "timeout"
)

// handleEvacuations applies an event to what is known of evacuated failure domains, and carries
// out the changes.
func (g *Gateway) handleEvacuations(e evacuation.Event, source string) {
	g.evacuations.mu.Lock()
	defer g.evacuations.mu.Unlock()
	effects := g.evacuations.state.Handle(e)
	for _, e := range effects {
		g.applyEvacuation(e, source)
	}
	if g.evacuations.state.Complete() {
		g.evacuations.known.Store(true)
	}
}

// applyEvacuation carries out one change. The caller holds evacuations.mu.
func (g *Gateway) applyEvacuation(e evacuation.Effect, source string) {
	switch e := e.(type) {
	case evacuation.Evacuated:
		g.setEvacuated(e.Place, true)
		g.log.Warn("failure domain is evacuated", "place", e.Place, "revision", e.Revision, "source", source,
			"in-flight", g.evacuatedInFlight()[e.Place])
		g.peers.announce()
	case evacuation.Restored:
		inFlight := g.evacuatedInFlight()[e.Place]
		// The targets count as cold before the first request can be sent to them.
		g.presumeColdPlace(e.Place, g.clock.Now())
		g.setEvacuated(e.Place, false)
		g.log.Warn("failure domain is taken back", "place", e.Place, "revision", e.Revision, "source", source,
			"in-flight", inFlight)
		g.peers.announce()
	case evacuation.Contradicted:
		g.peers.announce()
	case evacuation.Ignored:
		if source == sourceStore {
			g.log.Error("ignored an evacuation, as there are too many", "place", e.Place)
		}
	}
}

// setEvacuated changes whether the targets of a failure domain are used. The caller holds
// evacuations.mu.
func (g *Gateway) setEvacuated(place string, evacuated bool) {
	places := map[string]bool{}
	if old := g.evacuations.places.Load(); old != nil {
		for p := range *old {
			places[p] = true
		}
	}
	if evacuated {
		places[place] = true
	} else {
		delete(places, place)
	}
	g.evacuations.places.Store(&places)
	meter.SetGauge("evacuated_places", float64(len(places)))
	meter.SetGauge("evacuation_in_flight", 0, "place", place)
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	g.rebuildUpstreams()
	g.rebuildCopySources()
}

// knowsEvacuations reports whether this router has learnt what is evacuated, or waits no longer.
func (g *Gateway) knowsEvacuations() bool { return g.evacuations.known.Load() }

// maintainEvacuations ends what a restored store lacks, and the wait of a router that can't learn
// what is evacuated. It keeps what is known of the targets.
func (g *Gateway) maintainEvacuations(now time.Time) {
	g.handleEvacuations(evacuation.Tick{At: now}, sourceTimeout)
	g.limitEvacuationsWait(now)
	for _, t := range g.upstreams.Load().evacuated {
		g.targetStates.get(t.Incarnation(), now)
	}
	if places := g.evacuations.places.Load(); places != nil && len(*places) > 0 {
		inFlight := g.evacuatedInFlight()
		for place := range *places {
			meter.SetGauge("evacuation_in_flight", float64(inFlight[place]), "place", place)
		}
	}
}

func (g *Gateway) limitEvacuationsWait(now time.Time) {
	e := &g.evacuations
	switch {
	case e.known.Load() || g.table.Load() == nil:
	case e.waitingSince.IsZero():
		e.waitingSince = now
	case now.Sub(e.waitingSince) >= evacuationsTimeout:
		g.log.Warn("serving without knowing what is evacuated, as neither the store nor a peer told", "after", evacuationsTimeout.String())
		e.known.Store(true)
	}
}

// evacuatedInFlight returns the requests of this router at targets of evacuated failure domains.
func (g *Gateway) evacuatedInFlight() map[string]int {
	out := map[string]int{}
	own := g.loads.Own()
	for key, t := range g.upstreams.Load().evacuated {
		out[t.Place()] += own[key].Requests()
	}
	return out
}

// mayReach reports whether a target that was chosen before may still be sent something.
func (g *Gateway) mayReach(u *upstream) bool {
	return !g.evacuations.has(u.target.Place()) && !g.isEvacuated(u.key)
}

func (g *Gateway) isEvacuated(key fitting.Key) bool {
	_, evacuated := g.upstreams.Load().evacuated[key]
	return evacuated
}

// anyTarget reports whether there is a target, which may be in an evacuated failure domain.
func (s *upstreamSet) anyTarget() bool { return len(s.byIncarnation) > 0 || len(s.evacuated) > 0 }

// serviceEvacuated reports whether a service has targets in evacuated failure domains only.
func (s *upstreamSet) serviceEvacuated(service string) bool {
	return len(s.byService[service]) == 0 &&
		s.anyEvacuated(func(t crew.Target) bool { return t.Service() == service })
}

func (s *upstreamSet) anyEvacuated(is func(crew.Target) bool) bool {
	for _, t := range s.evacuated {
		if is(t) {
			return true
		}
	}
	return false
}
