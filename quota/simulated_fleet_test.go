package quota

import (
	"math/rand/v2"
	"strconv"
	"time"

	"vanillalug.example"
)

// simulatedRouter is a router with its beliefs about its peers.
type simulatedRouter struct {
	name         string
	table        *Table
	issuer       *Issuer
	lastSeen     []time.Time
	stoppedUntil time.Time
	excusedUntil time.Time
	turn         int
}

// simulatedFleet sends requests through many routers to targets that name limits.
type simulatedFleet struct {
	fleetCase
	rnd     *rand.Rand
	now     time.Time
	routers []*simulatedRouter
	events  map[time.Time][]func()
	rates   []float64
	// arrivals has the requests that count, by target.
	arrivals [][]time.Time
	granted  int
}

type fleetCase struct {
	routers, targets int
	// rate is what each target takes, demand the requests for each target, a second.
	rate, demand float64
	// lost is the share of datagrams and calls that is lost; a router stops every
	// stopEvery, to restart or to pause.
	lost      float64
	stopEvery time.Duration
	pause     bool
	changing  bool
}

func newSimulatedFleet(c fleetCase, seed uint64) *simulatedFleet {
	f := &simulatedFleet{
		fleetCase: c, rnd: rand.New(rand.NewPCG(seed, 1)), now: start, events: map[time.Time][]func(){},
		rates: make([]float64, c.targets), arrivals: make([][]time.Time, c.targets),
	}
	for i := range c.routers {
		r := &simulatedRouter{name: "r" + strconv.Itoa(i), turn: f.rnd.IntN(shareSteps)}
		f.routers = append(f.routers, r)
		f.restart(r)
	}
	for i := range f.rates {
		f.rates[i] = c.rate
	}
	return f
}

func (f *simulatedFleet) restart(r *simulatedRouter) {
	r.table, r.issuer, r.lastSeen = NewTable(), NewIssuer(), make([]time.Time, f.fleetCase.routers)
}

func (f *simulatedFleet) after(steps int, run func()) {
	at := f.now.Add(time.Duration(max(steps, 1)) * step)
	f.events[at] = append(f.events[at], run)
}

func (f *simulatedFleet) running(r *simulatedRouter) bool { return !f.now.Before(r.stoppedUntil) }

func (f *simulatedFleet) ttl() time.Duration {
	return 300*time.Millisecond + 2*shareSteps*step*time.Duration(max(f.groups(), 2))
}

func (f *simulatedFleet) groups() int { return (f.fleetCase.routers + groupSize - 1) / groupSize }

// issuerOf returns the router that issues the permits of a target by what one believes.
func (f *simulatedFleet) issuerOf(r *simulatedRouter, target TargetKey) *simulatedRouter {
	names := []string{r.name}
	for i, seen := range r.lastSeen {
		if f.now.Sub(seen) < f.ttl() {
			names = append(names, f.routers[i].name)
		}
	}
	best, err := strconv.Atoi(vanillalug.Best(uint64(target), names)[1:])
	if err != nil {
		panic(err)
	}
	return f.routers[best]
}

// share sends what a router was told to the peers whose turn it is.
func (f *simulatedFleet) share(from int) {
	r := f.routers[from]
	r.turn++
	if r.turn%shareSteps != 0 || !f.running(r) {
		return
	}
	reports := r.table.OwnReports(f.ttl(), f.now)
	for i, to := range f.routers {
		if i == from || i%f.groups() != r.turn/shareSteps%f.groups() || f.rnd.Float64() < f.lost {
			continue
		}
		f.after(f.rnd.IntN(5), func() {
			if f.running(to) {
				to.lastSeen[from] = f.now
				to.table.RecordFromPeer(reports, f.now)
			}
		})
	}
}

// request sends one request for a target through a router, if it gets a permit.
func (f *simulatedFleet) request(r *simulatedRouter, target int) {
	key := TargetKey(target + 1)
	if !f.running(r) {
		return
	}
	if !r.table.Limit(key).Limited() {
		f.send(r, target)
		return
	}
	issuer := f.issuerOf(r, key)
	if issuer == r {
		f.use(r, target, r.issuer.Take(key, r.table.Limit(key), 0, f.now))
		return
	}
	report := r.table.Report(key, f.now)
	f.call(issuer, func() {
		issuer.table.RecordFromPeer([]Report{report}, f.now)
		permit := Permit{}
		if f.issuerOf(issuer, key) == issuer {
			permit = issuer.issuer.Take(key, issuer.table.Limit(key), 0, f.now)
		}
		known := issuer.table.Report(key, f.now)
		f.call(r, func() {
			r.table.RecordFromPeer([]Report{known}, f.now)
			f.use(r, target, permit)
		})
	})
}

// call delivers a message unless it is lost or the receiver has stopped.
func (f *simulatedFleet) call(to *simulatedRouter, run func()) {
	if f.rnd.Float64() < f.lost {
		return
	}
	f.after(f.rnd.IntN(2), func() {
		if f.running(to) {
			run()
		}
	})
}

func (f *simulatedFleet) use(r *simulatedRouter, target int, permit Permit) {
	if permit.Granted {
		f.granted++
		f.send(r, target)
	}
}

// send sends a request to a target, whose response names its limit.
func (f *simulatedFleet) send(r *simulatedRouter, target int) {
	if f.now.After(r.excusedUntil) {
		f.arrivals[target] = append(f.arrivals[target], f.now)
	}
	f.after(f.rnd.IntN(responseSteps), func() {
		limit := NewLimit(f.rates[target])
		if f.running(r) {
			r.table.Observe(TargetKey(target+1), limit, f.now)
		}
	})
}

// stopRouter stops a router for some seconds, after which it has lost its state or goes on.
func (f *simulatedFleet) stopRouter() {
	r := f.routers[f.rnd.IntN(len(f.routers))]
	r.stoppedUntil = f.now.Add(time.Second + time.Duration(f.rnd.Int64N(int64(4*time.Second))))
	r.excusedUntil = r.stoppedUntil.Add(excusedTime)
	if !f.pause {
		f.restart(r)
	}
}

func (f *simulatedFleet) play() {
	arrivals := int(f.demand * float64(f.targets) * step.Seconds() * 1000)
	for elapsed := time.Duration(0); elapsed < playTime; elapsed += step {
		f.now = f.now.Add(step)
		for _, run := range f.events[f.now] {
			run()
		}
		delete(f.events, f.now)
		for i := range f.routers {
			f.share(i)
		}
		if f.stopEvery > 0 && elapsed%f.stopEvery == 0 {
			f.stopRouter()
		}
		if f.changing && elapsed%(7*time.Second) == 0 {
			f.rates[f.rnd.IntN(f.targets)] = f.rate * (0.5 + f.rnd.Float64()/2)
		}
		for n := f.rnd.IntN(2*arrivals + 1); n > 0; n -= 1000 {
			if n >= 1000 || f.rnd.IntN(1000) < n {
				f.request(f.routers[f.rnd.IntN(len(f.routers))], f.rnd.IntN(f.targets))
			}
		}
	}
}

// most returns the most requests that reached a target in a window, from the contact time
// on.
func (f *simulatedFleet) most(target int) int {
	most, first := 0, 0
	for i, at := range f.arrivals[target] {
		for at.Sub(f.arrivals[target][first]) > windowTime {
			first++
		}
		if f.arrivals[target][first].Sub(start) >= contactTime {
			most = max(most, i-first+1)
		}
	}
	return most
}
