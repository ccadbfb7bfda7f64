package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"vanillalug.example/schedule"
)

// The sizes of control messages in bytes, with HTTP, IP and TCP headers.
const (
	gossipBytes = 1100 // one probe with its answer
	reportBytes = 520  // one report of an engine
	lookupBytes = 640  // one look-up or update of the router memory
	creditBytes = 640  // one request for credits with its answer
	probePeriod = 500 * time.Millisecond
)

const (
	reportPeriod = 500 * time.Millisecond
	reportLag    = 200 * time.Millisecond
	tickPeriod   = 50 * time.Millisecond
	viewLagMin   = 500 * time.Millisecond
	viewLagMax   = 4 * time.Second
	loadLagMin   = 500 * time.Millisecond
	loadLagMax   = 1500 * time.Millisecond
)

// fleet is one run of a case on a trace.
type fleet struct {
	d       Deployment
	c       Case
	clock   *schedule.Fake
	begun   time.Time
	random  *rand.Rand
	engines map[string]*engine
	names   []string
	routers []*router
	hints   map[uint64]string
	result  *Result
	place   placer
}

// router is what one router believes, which lags behind.
type router struct {
	name    string
	engines map[string]bool
	routers map[string]bool
	loadLag time.Duration
	sent    map[string][]time.Time
	memory  map[uint64]string
}

// placer places the requests of a fleet in one way.
type placer interface {
	// place sends a request on its way.
	place(r *request)
	// finished tells of the end of a request that ran.
	finished(r *request)
	// routerReplaced tells that a router has lost what it knew.
	routerReplaced(name string)
}

// Run runs a case on the trace of a seed.
func Run(d Deployment, c Case, seed uint64) *Result {
	begun := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	f := &fleet{
		d: d, c: c, clock: schedule.NewFake(begun), begun: begun, random: rand.New(rand.NewPCG(seed, 23)),
		engines: map[string]*engine{}, hints: map[uint64]string{}, result: newResult(d.routers),
	}
	for i := range d.engines {
		name := fmt.Sprintf("e%02d", i)
		f.names = append(f.names, name)
		f.engines[name] = newEngine(name, d.cache)
	}
	f.addRouters()
	f.place = newPlacer(f)
	f.schedule(trace(d, seed))
	if d.replaceAll {
		f.replaceAll()
	} else {
		f.churn()
	}
	f.clock.Every(reportPeriod, func(time.Time) { f.sample() })
	f.clock.Advance(length)
	f.countControl()
	return f.result
}

func (f *fleet) addRouters() {
	for i := range f.d.routers {
		f.routers = append(f.routers, f.newRouter(fmt.Sprintf("r%02d", i)))
	}
}

func (f *fleet) newRouter(name string) *router {
	r := &router{
		name: name, engines: map[string]bool{}, routers: map[string]bool{}, sent: map[string][]time.Time{},
		memory:  map[uint64]string{},
		loadLag: loadLagMin + time.Duration(f.random.Int64N(int64(loadLagMax-loadLagMin))),
	}
	for _, e := range f.names {
		r.engines[e] = f.engines[e].up
	}
	for i := range f.d.routers {
		r.routers[fmt.Sprintf("r%02d", i)] = true
	}
	return r
}

func (f *fleet) schedule(arrivals []arrival) {
	for i, a := range arrivals {
		f.clock.After(a.at, func(now time.Time) {
			r := &request{arrival: a, id: fmt.Sprintf("q%d", i), arrived: now}
			if f.measured() {
				f.result.sent++
			}
			f.place.place(r)
		})
	}
}

// measured reports whether the warm-up is over.
func (f *fleet) measured() bool { return f.clock.Now().Sub(f.begun) >= warmUp }

// sample notes the load of every engine for the lagging views.
func (f *fleet) sample() {
	for _, e := range f.engines {
		e.history = append(e.history, e.assigned)
	}
}

// seenLoad returns the load of an engine as a router sees it.
func (f *fleet) seenLoad(r *router, e *engine) int {
	i := len(e.history) - 1 - int(r.loadLag/reportPeriod)
	if i < 0 {
		return 0
	}
	return e.history[i]
}

// start gives a request to an engine, which may queue it.
func (f *fleet) start(r *request, e *engine) {
	r.engine = e
	e.assigned++
	f.noteSkew(e)
	if e.running >= f.d.slots {
		e.queue = append(e.queue, r)
		return
	}
	f.run(r)
}

func (f *fleet) run(r *request) {
	e := r.engine
	e.running++
	have := e.use(r.chat, r.prompt+r.answer)
	m := f.result.at(f.clock.Now().Sub(f.begun))
	m.waits = append(m.waits, f.clock.Now().Sub(r.arrived))
	if r.turn > 0 {
		m.prefix += f.prefixOf(r)
		m.reused += min(have, f.prefixOf(r))
	}
	if f.measured() {
		class := r.class(f.d)
		f.result.waits[class] = append(f.result.waits[class], f.clock.Now().Sub(r.arrived))
		if r.turn > 0 {
			prefix := f.prefixOf(r)
			f.result.prefix += prefix
			f.result.reused += min(have, prefix)
		}
	}
	prefill := time.Duration(max(r.prompt-have, 0)) * f.d.prefill
	f.clock.After(prefill+time.Duration(r.answer)*f.d.interval, func(time.Time) { f.end(r) })
}

// prefixOf returns the part of the prompt that earlier turns had.
func (f *fleet) prefixOf(r *request) int { return max(0, r.prompt-f.d.turn) }

func (f *fleet) end(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	e := r.engine
	e.running--
	e.assigned--
	f.place.finished(r)
	for len(e.queue) > 0 && e.running < f.d.slots {
		next := e.queue[0]
		e.queue = e.queue[1:]
		f.run(next)
	}
}

// noteSkew notes the load of an engine over the mean of those that are up,
// right after an admission, unless it is within the floor.
func (f *fleet) noteSkew(e *engine) {
	if !f.measured() || e.assigned <= boundFloor {
		return
	}
	up, load := 0, 0
	for _, other := range f.engines {
		if other.up {
			up++
			load += other.assigned
		}
	}
	f.result.skews = append(f.result.skews, float64(e.assigned)*float64(up)/float64(load))
}

func (f *fleet) refuse() {
	if f.measured() {
		f.result.refused++
	}
}

func (f *fleet) addBytes(kind string, n float64) {
	if f.measured() {
		f.result.bytes[kind] += n
	}
}

// countControl adds what every way spends: probes between routers, and the
// reports of engines, each asked for by one router, or by all for ways in
// which every router decides by itself.
func (f *fleet) countControl() {
	seconds := (length - warmUp).Seconds()
	askers := 1.0
	if _, ok := f.c.way.(LocalBound); ok {
		askers = float64(f.d.routers)
	}
	probes := 2 * seconds / probePeriod.Seconds() * float64(f.d.routers)
	f.result.bytes["probe"] += probes * gossipBytes
	f.result.bytes["report"] += askers * seconds / reportPeriod.Seconds() * float64(f.d.engines) * reportBytes
}
