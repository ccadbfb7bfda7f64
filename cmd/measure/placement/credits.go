package placement

import (
	"math"
	"time"
)

const (
	// lentAtOnce is the number of credits in one answer.
	lentAtOnce = 2
	// creditLife is how long a router may keep a credit.
	creditLife = time.Second
)

// creditPlacer lets routers admit with credits that the admitting router of
// the engine lends from what the bound leaves free.
type creditPlacer struct {
	fleet *fleet
	lent  map[string]int
	held  map[string]map[string][]time.Time
}

func newCreditPlacer(f *fleet) *creditPlacer {
	return &creditPlacer{fleet: f, lent: map[string]int{}, held: map[string]map[string][]time.Time{}}
}

func (p *creditPlacer) place(r *request) {
	f := p.fleet
	ranked := f.rank(r)
	for _, name := range ranked {
		e := f.engines[name]
		if e.up && p.spend(f.routers[r.router].name, e) {
			f.remember(r, name)
			f.start(r, e)
			return
		}
	}
	f.refuse()
}

// spend uses a credit of the router for the engine, asking for more where it
// has none.
func (p *creditPlacer) spend(router string, e *engine) bool {
	if p.held[router] == nil {
		p.held[router] = map[string][]time.Time{}
	}
	p.expire(router, e.name)
	if len(p.held[router][e.name]) == 0 {
		p.fleet.addBytes("credits", creditBytes)
		p.lend(router, e)
	}
	credits := p.held[router][e.name]
	if len(credits) == 0 {
		return false
	}
	p.held[router][e.name] = credits[1:]
	p.lent[e.name]--
	return true
}

func (p *creditPlacer) expire(router, engine string) {
	credits := p.held[router][engine]
	for len(credits) > 0 && p.fleet.clock.Now().Sub(credits[0]) > creditLife {
		credits = credits[1:]
		p.lent[engine]--
	}
	p.held[router][engine] = credits
}

func (p *creditPlacer) lend(router string, e *engine) {
	for other := range p.held {
		p.expire(other, e.name)
	}
	free := p.limit() - e.assigned - p.lent[e.name]
	for range min(lentAtOnce, free) {
		p.held[router][e.name] = append(p.held[router][e.name], p.fleet.clock.Now())
		p.lent[e.name]++
	}
}

// limit is the bound over the engines that are up.
func (p *creditPlacer) limit() int {
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
	for engine, credits := range p.held[name] {
		p.lent[engine] -= len(credits)
	}
	delete(p.held, name)
}
