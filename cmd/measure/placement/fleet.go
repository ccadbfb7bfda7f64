package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"vanillalug.example/schedule"
)

// The sizes of control messages in bytes, with HTTP, IP and TCP headers.
const (
	probeBytes  = 1100 // one probe with its answer
	reportBytes = 520  // one report of an engine
	lookupBytes = 640  // one lookup or update of the router affinity
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

// fleet simulates one run of a case on a trace.
type fleet struct {
	d         Deployment
	c         Case
	clock     *schedule.Fake
	startTime time.Time
	random    *rand.Rand
	engines   map[string]*engine
	names     []string
	routers   []*router
	hints     map[uint64]string
	result    *Result
	placer    placer
}

// router is the delayed view that one router has of the fleet.
type router struct {
	name        string
	engines     map[string]bool
	routers     map[string]bool
	loadLag     time.Duration
	sent        map[string][]time.Time
	lastEngines map[uint64]string
}

// placer places the requests of a fleet by one policy.
type placer interface {
	// place admits, queues or rejects a request.
	place(r *request)
	// finished is called when a request has completed.
	finished(r *request)
	// routerReplaced is called when a router has lost its state.
	routerReplaced(name string)
}

// Run simulates a case on the trace generated from a seed.
func Run(d Deployment, c Case, seed uint64) *Result {
	begun := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	f := &fleet{
		d: d, c: c, clock: schedule.NewFake(begun), startTime: begun, random: rand.New(rand.NewPCG(seed, 23)),
		engines: map[string]*engine{}, hints: map[uint64]string{}, result: newResult(d.routers),
	}
	for i := range d.engines {
		name := fmt.Sprintf("e%02d", i)
		f.names = append(f.names, name)
		f.engines[name] = newEngine(name, d.cacheTokens)
	}
	f.addRouters()
	f.placer = newPlacer(f)
	f.schedule(trace(d, seed))
	if d.replaceRouters {
		f.scheduleReplacement()
	} else {
		f.scheduleChurn()
	}
	f.clock.Every(reportPeriod, func(time.Time) { f.sample() })
	f.clock.Advance(runLength)
	f.addControlBytes()
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
		lastEngines: map[uint64]string{},
		loadLag:     loadLagMin + time.Duration(f.random.Int64N(int64(loadLagMax-loadLagMin))),
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
			if f.warmedUp() {
				f.result.sent++
			}
			f.placer.place(r)
		})
	}
}

// warmedUp reports whether the warm-up is over.
func (f *fleet) warmedUp() bool { return f.clock.Now().Sub(f.startTime) >= warmUp }

// sample records the load of every engine for the delayed views.
func (f *fleet) sample() {
	for _, e := range f.engines {
		e.loadHistory = append(e.loadHistory, e.assigned)
	}
}

// delayedLoad returns the load of an engine in the delayed view of a router.
func (f *fleet) delayedLoad(r *router, e *engine) int {
	i := len(e.loadHistory) - 1 - int(r.loadLag/reportPeriod)
	if i < 0 {
		return 0
	}
	return e.loadHistory[i]
}

// start sends a request to an engine, which may queue it.
func (f *fleet) start(r *request, e *engine) {
	r.engine = e
	e.assigned++
	f.recordSkew(e)
	if e.running >= f.d.slots {
		e.queue = append(e.queue, r)
		return
	}
	f.startRunning(r)
}

func (f *fleet) startRunning(r *request) {
	e := r.engine
	e.running++
	have := e.use(r.chat, r.prompt+r.answer)
	m := f.result.minuteAt(f.clock.Now().Sub(f.startTime))
	m.waits = append(m.waits, f.clock.Now().Sub(r.arrived))
	if r.turn > 0 {
		m.prefixTokens += f.prefixTokensOf(r)
		m.reusedTokens += min(have, f.prefixTokensOf(r))
	}
	if f.warmedUp() {
		class := r.class(f.d)
		f.result.waits[class] = append(f.result.waits[class], f.clock.Now().Sub(r.arrived))
		if r.turn > 0 {
			prefix := f.prefixTokensOf(r)
			f.result.prefixTokens += prefix
			f.result.reusedTokens += min(have, prefix)
		}
	}
	prefill := time.Duration(max(r.prompt-have, 0)) * f.d.prefillPerToken
	f.clock.After(prefill+time.Duration(r.answer)*f.d.tokenInterval, func(time.Time) { f.finish(r) })
}

// prefixTokensOf returns the number of prompt tokens from earlier turns.
func (f *fleet) prefixTokensOf(r *request) int { return max(0, r.prompt-f.d.turnTokens) }

func (f *fleet) finish(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	e := r.engine
	e.running--
	e.assigned--
	f.placer.finished(r)
	for len(e.queue) > 0 && e.running < f.d.slots {
		next := e.queue[0]
		e.queue = e.queue[1:]
		f.startRunning(next)
	}
}

// recordSkew records the load of an engine divided by the mean of those that are
// up, right after an admission, unless the load is within the floor.
func (f *fleet) recordSkew(e *engine) {
	if !f.warmedUp() || e.assigned <= boundFloor {
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

func (f *fleet) reject() {
	if f.warmedUp() {
		f.result.rejected++
	}
}

func (f *fleet) addBytes(kind string, n float64) {
	if f.warmedUp() {
		f.result.bytes[kind] += n
	}
}

// addControlBytes adds the control traffic of every policy: probes between
// routers, and the reports of engines, each polled by one router, or by all
// routers for the local bound, with which every router decides by itself.
func (f *fleet) addControlBytes() {
	seconds := (runLength - warmUp).Seconds()
	pollers := 1.0
	if _, ok := f.c.policy.(LocalBound); ok {
		pollers = float64(f.d.routers)
	}
	probes := 2 * seconds / probePeriod.Seconds() * float64(f.d.routers)
	f.result.bytes["probe"] += probes * probeBytes
	f.result.bytes["report"] += pollers * seconds / reportPeriod.Seconds() * float64(f.d.engines) * reportBytes
}
