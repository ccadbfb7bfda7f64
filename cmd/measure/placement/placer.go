package placement

import (
	"math"
	"time"

	"vanillalug.example"
)

func newPlacer(f *fleet) placer {
	switch f.c.policy.(type) {
	case Rendezvous:
		return &directPlacer{fleet: f, choose: f.firstRanked}
	case LocalBound:
		return &directPlacer{fleet: f, choose: f.underLocalBound}
	case FullKnowledge:
		return &directPlacer{fleet: f, choose: f.bestCached}
	case Credits:
		return newCreditPlacer(f)
	default:
		return newAdmittingPlacer(f)
	}
}

// directPlacer lets the router that received the request decide by itself.
type directPlacer struct {
	fleet  *fleet
	choose func(r *request, ranked []string) *engine
}

func (p *directPlacer) place(r *request) {
	ranked := p.fleet.rank(r)
	e := p.choose(r, ranked)
	if e == nil || !e.up {
		e = p.fleet.firstUp(ranked)
	}
	if e == nil {
		p.fleet.reject()
		return
	}
	router := p.fleet.routers[r.router]
	router.sent[e.name] = append(router.sent[e.name], p.fleet.clock.Now())
	p.fleet.recordEngine(r, e.name)
	p.fleet.start(r, e)
}

func (p *directPlacer) finished(*request)     {}
func (p *directPlacer) routerReplaced(string) {}

// rank returns the engines that are up in the router's view in rendezvous order,
// with the chat's last engine first.
func (f *fleet) rank(r *request) []string {
	var names []string
	for _, n := range f.names {
		if f.routers[r.router].engines[n] {
			names = append(names, n)
		}
	}
	ranked := vanillalug.Rank(r.chat, names)
	last := f.lastEngine(r)
	for i, n := range ranked {
		if n == last {
			copy(ranked[1:i+1], ranked[:i])
			ranked[0] = last
		}
	}
	return ranked
}

func (f *fleet) firstUp(ranked []string) *engine {
	for _, n := range ranked {
		if f.engines[n].up {
			return f.engines[n]
		}
	}
	return nil
}

func (f *fleet) firstRanked(_ *request, ranked []string) *engine {
	if len(ranked) == 0 {
		return nil
	}
	return f.engines[ranked[0]]
}

// underLocalBound skips engines whose load, by the delayed reports and the
// requests that this router has sent since, is over the bound.
func (f *fleet) underLocalBound(r *request, ranked []string) *engine {
	router := f.routers[r.router]
	load := map[string]int{}
	total := 0
	for _, n := range ranked {
		load[n] = f.delayedLoad(router, f.engines[n]) + router.sentSince(n, f.clock.Now().Add(-router.loadLag))
		total += load[n]
	}
	limit := max(boundFloor, int(math.Ceil(bound*float64(total+1)/float64(max(len(ranked), 1)))))
	for _, n := range ranked {
		if load[n] < limit {
			return f.engines[n]
		}
	}
	return f.firstRanked(r, ranked)
}

func (r *router) sentSince(engine string, since time.Time) int {
	times := r.sent[engine]
	i := 0
	for i < len(times) && times[i].Before(since) {
		i++
	}
	r.sent[engine] = times[i:]
	return len(times) - i
}

// bestCached returns the engine that has most of the prompt cached.
func (f *fleet) bestCached(r *request, ranked []string) *engine {
	var best *engine
	have := 0
	for _, n := range ranked {
		if e := f.engines[n]; e.up && e.peek(r.chat) > have {
			best, have = e, e.peek(r.chat)
		}
	}
	if best == nil {
		return f.firstRanked(r, ranked)
	}
	return best
}
