package placement

import (
	"math"
	"time"
)

const (
	creditsPerGrant = 2
	creditTTL       = time.Second
)

// creditPlacer lets routers admit with credits that the admitting router of
// the engine grants from the capacity left under the load bound.
type creditPlacer struct {
	fleet *fleet
	// outstanding is the number of unused credits by engine.
	outstanding map[string]int
	// granted holds the grant times of unused credits by router and engine.
	granted map[string]map[string][]time.Time
}

func newCreditPlacer(f *fleet) *creditPlacer {
	return &creditPlacer{fleet: f, outstanding: map[string]int{}, granted: map[string]map[string][]time.Time{}}
}

func (p *creditPlacer) place(r *request) {
	f := p.fleet
	ranked := f.rank(r)
	for _, name := range ranked {
		e := f.engines[name]
		if e.up && p.useCredit(f.routers[r.router].name, e) {
			f.recordEngine(r, name)
			f.start(r, e)
			return
		}
	}
	f.reject()
}

// useCredit uses a credit of the router for the engine and requests more if it
// has none.
func (p *creditPlacer) useCredit(router string, e *engine) bool {
	if p.granted[router] == nil {
		p.granted[router] = map[string][]time.Time{}
	}
	p.expire(router, e.name)
	if len(p.granted[router][e.name]) == 0 {
		p.fleet.addBytes("credits", creditBytes)
		p.grant(router, e)
	}
	credits := p.granted[router][e.name]
	if len(credits) == 0 {
		return false
	}
	p.granted[router][e.name] = credits[1:]
	p.outstanding[e.name]--
	return true
}

func (p *creditPlacer) expire(router, engine string) {
	credits := p.granted[router][engine]
	for len(credits) > 0 && p.fleet.clock.Now().Sub(credits[0]) > creditTTL {
		credits = credits[1:]
		p.outstanding[engine]--
	}
	p.granted[router][engine] = credits
}

func (p *creditPlacer) grant(router string, e *engine) {
	for other := range p.granted {
		p.expire(other, e.name)
	}
	free := p.loadLimit() - e.assigned - p.outstanding[e.name]
	for range min(creditsPerGrant, free) {
		p.granted[router][e.name] = append(p.granted[router][e.name], p.fleet.clock.Now())
		p.outstanding[e.name]++
	}
}

// loadLimit returns the load bound of an engine, from the mean over the engines
// that are up.
func (p *creditPlacer) loadLimit() int {
	up, load := 0, 0
	for _, e := range p.fleet.engines {
		if e.up {
			up++
			load += e.assigned
		}
	}
	mean := float64(load+1) / float64(max(up, 1))
	return min(p.fleet.d.slots, max(boundFloor, int(math.Ceil(bound*mean))))
}

func (p *creditPlacer) finished(*request) {}

func (p *creditPlacer) routerReplaced(name string) {
	for engine, credits := range p.granted[name] {
		p.outstanding[engine] -= len(credits)
	}
	delete(p.granted, name)
}
