package quota

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
)

const (
	// coldDelaySteps is the longest delay of a message or a request, 100 ms.
	coldDelaySteps = 10
	coldPlayTime   = 25 * time.Second
	// coldHeartbeat is the time between two entries of a target, coldContact that after which routers
	// must know that a target became cold again.
	coldHeartbeat = 1200 * time.Millisecond
	coldContact   = 4 * time.Second
	coldWindow    = time.Second
)

// coldCase is a fleet whose targets are cold.
type coldCase struct {
	routers, targets int
	// rate is what a cold target takes a second, demand the requests for each target.
	rate, demand float64
	// lost is the share of messages that is lost.
	lost float64
	// killEvery is the time between two kills of the router that issues the permits of a target.
	killEvery time.Duration
	// restartAt is when all routers restart at once; joinAt when half of them start; divideAt when the
	// fleet is divided in two for ten seconds, with a part of the routers on one side.
	restartAt, joinAt, divideAt time.Duration
	part                        float64
	// freezeEvery is the time between two routers that stand still for some seconds.
	freezeEvery time.Duration
	// again makes targets warm, and cold again at some moment.
	again bool
}

// coldRouter is a router of a coldSimulation.
type coldRouter struct {
	index        int
	name         string
	table        *Table
	issuer       *Issuer
	duty         *Duty
	heardAt      map[int]time.Time
	stoppedUntil time.Time
	inbox        []func()
	turn         int
	// life counts the starts, so that what an earlier process was to do is not done.
	life int
}

type coldSimulation struct {
	coldCase
	rnd       *rand.Rand
	now       time.Time
	members   []*coldRouter
	events    map[time.Time][]func()
	coldUntil []time.Time
	coldFrom  []time.Time
	arrivals  [][]time.Time
	sequence  int64
}

func newColdSimulation(c coldCase, seed uint64) *coldSimulation {
	f := &coldSimulation{
		coldCase: c, rnd: rand.New(rand.NewPCG(seed, 7)), now: start, events: map[time.Time][]func(){},
		coldUntil: make([]time.Time, c.targets), coldFrom: make([]time.Time, c.targets), arrivals: make([][]time.Time, c.targets),
	}
	for i := range f.coldUntil {
		f.coldUntil[i], f.coldFrom[i] = start.Add(MaxCold), start
	}
	for i := range c.routers {
		r := &coldRouter{index: i, name: "r" + strconv.Itoa(i), turn: f.rnd.IntN(shareSteps)}
		f.members = append(f.members, r)
		f.restart(r)
		if c.joinAt > 0 && i%2 == 1 {
			r.stoppedUntil = start.Add(c.joinAt)
		}
	}
	return f
}

// restart starts a router, which knows the registered routers and reads the registry.
func (f *coldSimulation) restart(r *coldRouter) {
	r.table, r.issuer, r.duty, r.heardAt, r.inbox = NewTable(), NewIssuer(), &Duty{}, map[int]time.Time{}, nil
	r.life++
	for target := range f.coldUntil {
		f.readEntry(r, target)
	}
}

func (f *coldSimulation) running(r *coldRouter) bool { return !f.now.Before(r.stoppedUntil) }

func (f *coldSimulation) readEntry(r *coldRouter, target int) {
	f.sequence++
	s := ColdStatement{Target: TargetKey(target + 1), Remaining: f.coldUntil[target].Sub(f.now), Rate: f.rate}
	r.table.ObserveEntry(s, EntryOrder{Sequence: f.sequence}, f.now)
}

func (f *coldSimulation) after(steps int, run func()) {
	at := f.now.Add(time.Duration(max(steps, 1)) * step)
	f.events[at] = append(f.events[at], run)
}

// deliver runs something at a router after a delay, unless it is lost. A router that stands still does
// it when it goes on; one that restarts doesn't.
func (f *coldSimulation) deliver(from, to *coldRouter, run func()) {
	life := to.life
	if from != to && (f.rnd.Float64() < f.lost || f.divided(from, to)) {
		return
	}
	f.after(f.rnd.IntN(coldDelaySteps+1), func() {
		switch {
		case to.life != life:
		case f.running(to):
			run()
		default:
			to.inbox = append(to.inbox, run)
		}
	})
}

func (f *coldSimulation) divided(a, b *coldRouter) bool {
	since := f.now.Sub(start) - f.divideAt
	side := func(r *coldRouter) bool { return float64(r.index) < f.part*float64(f.routers) }
	return f.divideAt > 0 && since >= 0 && since < 10*time.Second && side(a) != side(b)
}

func (f *coldSimulation) groups(r *coldRouter) int {
	return max(len(r.heardAt)+groupSize-1, 1) / groupSize
}

// ttl is the time after which a router that isn't heard counts as lost.
func (f *coldSimulation) ttl(r *coldRouter) time.Duration {
	return 300*time.Millisecond + 2*shareSteps*step*time.Duration(max(f.groups(r), 2))
}

// heard returns the other routers that one heard within a time.
func (f *coldSimulation) heard(r *coldRouter, within time.Duration) []string {
	var out []string
	for i, at := range r.heardAt {
		if f.now.Sub(at) < within {
			out = append(out, f.members[i].name)
		}
	}
	slices.Sort(out)
	return out
}

func (f *coldSimulation) issuerOf(r *coldRouter, target TargetKey) *coldRouter {
	best, err := strconv.Atoi(vanillalug.Best(uint64(target), append(f.heard(r, f.ttl(r)), r.name))[1:])
	if err != nil {
		panic(err)
	}
	return f.members[best]
}

// share sends a datagram to the peers whose turn it is, and reads entries if the router follows the store.
func (f *coldSimulation) share(r *coldRouter) {
	r.turn++
	if !f.running(r) || r.turn%shareSteps != 0 {
		return
	}
	r.duty.Tick(len(f.heard(r, f.ttl(r)))+1, f.registered(), f.now)
	if r.index < 8 && r.turn/shareSteps%int(coldHeartbeat/(shareSteps*step)) == 0 {
		for target := range f.coldUntil {
			f.readEntry(r, target)
		}
	}
	reports, groups := r.table.OwnColdReports(f.now), (f.routers+groupSize-1)/groupSize
	for i, to := range f.members {
		if to == r || i%groups != r.turn/shareSteps%groups {
			continue
		}
		sentAt := f.now
		f.deliver(r, to, func() {
			to.heardAt[r.index] = f.now
			to.table.RecordColdFromPeer(reports, sentAt)
		})
	}
}

// registered returns the number of routers that the store lists.
func (f *coldSimulation) registered() int {
	if f.joinAt > 0 && f.now.Sub(start) < f.joinAt+time.Second {
		return f.routers / 2
	}
	return f.routers
}

func (f *coldSimulation) take(r *coldRouter, target TargetKey, maxWait time.Duration) Permit {
	limit := r.table.LimitAt(target, f.now)
	if limit.Cold() {
		settle := SettleTime(f.ttl(r))
		share := r.duty.Share(target, Standing{Name: r.name, Heard: f.heard(r, settle), SettleTime: settle}, f.now)
		if share == 0 {
			return Permit{}
		}
		limit = limit.AsCold(share * limit.ColdRate())
	}
	return r.issuer.Take(target, limit, maxWait, f.now)
}

func (f *coldSimulation) request(r *coldRouter, target int) {
	key, asked := TargetKey(target+1), f.now
	maxWait := time.Duration(f.rnd.IntN(1000)) * time.Millisecond
	if !r.table.LimitAt(key, f.now).Cold() {
		f.arrive(target)
		return
	}
	issuer := f.issuerOf(r, key)
	if issuer == r {
		f.use(r, target, asked, f.take(r, key, maxWait))
		return
	}
	report, _ := r.table.ColdReport(key, f.now)
	f.deliver(r, issuer, func() {
		issuer.table.RecordColdFromPeer([]ColdReport{report}, f.now)
		permit := Permit{}
		if f.issuerOf(issuer, key) == issuer {
			permit = f.take(issuer, key, maxWait)
		}
		f.deliver(issuer, r, func() { f.use(r, target, asked, permit) })
	})
}

// use sends the request once its permit is valid, unless that is too old by then.
func (f *coldSimulation) use(r *coldRouter, target int, asked time.Time, permit Permit) {
	if !permit.Granted {
		return
	}
	life := r.life
	late := int(permit.Wait/step) + f.rnd.IntN(5)
	f.after(late, func() {
		if r.life == life && f.running(r) && !f.now.After(asked.Add(permit.Wait+MaxColdPermitAge)) {
			f.arrive(target)
		}
	})
}

// arrive makes a request reach a target after a delay.
func (f *coldSimulation) arrive(target int) {
	f.after(f.rnd.IntN(coldDelaySteps+1), func() {
		if f.now.Sub(f.coldFrom[target]) >= 0 && f.now.Before(f.coldUntil[target]) {
			f.arrivals[target] = append(f.arrivals[target], f.now)
		}
	})
}

func (f *coldSimulation) stop(r *coldRouter, d time.Duration, restart bool) {
	r.stoppedUntil = f.now.Add(d)
	if restart {
		f.after(int(d/step), func() { f.restart(r) })
		r.life++
		return
	}
	f.after(int(d/step)+1, func() {
		inbox := r.inbox
		r.inbox = nil
		for _, run := range inbox {
			run()
		}
	})
}

// disturb does what the case asks for at a time.
func (f *coldSimulation) disturb(elapsed time.Duration) {
	seconds := func(n int) time.Duration { return time.Duration(n) * 100 * time.Millisecond }
	if f.killEvery > 0 && elapsed%f.killEvery == 0 {
		f.stop(f.issuerOf(f.members[f.rnd.IntN(len(f.members))], TargetKey(1+f.rnd.IntN(f.targets))), seconds(2+f.rnd.IntN(40)), true)
	}
	if f.freezeEvery > 0 && elapsed%f.freezeEvery == 0 {
		f.stop(f.issuerOf(f.members[f.rnd.IntN(len(f.members))], TargetKey(1+f.rnd.IntN(f.targets))), seconds(5+f.rnd.IntN(60)), false)
	}
	if f.restartAt > 0 && elapsed == f.restartAt {
		for _, r := range f.members {
			f.stop(r, seconds(1+f.rnd.IntN(15)), true)
		}
	}
	if f.again && elapsed%(8*time.Second) == 4*time.Second {
		for target := range f.coldUntil {
			f.coldUntil[target] = f.now
			f.after(200, func() { f.coldFrom[target], f.coldUntil[target] = f.now.Add(coldContact), f.now.Add(MaxCold) })
		}
	}
}

func (f *coldSimulation) play() {
	arrivals := f.demand * float64(f.targets) * step.Seconds()
	for elapsed := time.Duration(0); elapsed < coldPlayTime; elapsed += step {
		f.now = f.now.Add(step)
		for _, run := range f.events[f.now] {
			run()
		}
		delete(f.events, f.now)
		for _, r := range f.members {
			f.share(r)
		}
		f.disturb(elapsed)
		for n := arrivals; n > 0; n-- {
			r := f.members[f.rnd.IntN(len(f.members))]
			if f.rnd.Float64() < n && f.running(r) {
				f.request(r, f.rnd.IntN(f.targets))
			}
		}
	}
}

// worst returns the most requests in any second at a target.
func (f *coldSimulation) worst() (most, total int) {
	for _, arrivals := range f.arrivals {
		first := 0
		for i, at := range arrivals {
			for at.Sub(arrivals[first]) >= coldWindow {
				first++
			}
			most = max(most, i-first+1)
		}
		total += len(arrivals)
	}
	return most, total
}

// TestSimulatedColdTargets checks for each second that a cold target gets no more than one and a half
// times its rate and five requests from all routers together, in fleets of three sizes, whether or not
// the routers are in touch; and that a part of the rate is used.
func TestSimulatedColdTargets(t *testing.T) {
	tests := map[string]struct {
		coldCase
		minUsed float64
	}{
		"18 routers":                     {coldCase{routers: 18, targets: 6, rate: 4, demand: 20}, 0.7},
		"18 routers, high rate":          {coldCase{routers: 18, targets: 3, rate: 20, demand: 60}, 0.7},
		"131 routers":                    {coldCase{routers: 131, targets: 6, rate: 4, demand: 20}, 0.6},
		"195 routers":                    {coldCase{routers: 195, targets: 6, rate: 4, demand: 20}, 0.6},
		"131 routers, low rate":          {coldCase{routers: 131, targets: 6, rate: 0.5, demand: 5}, 0.6},
		"18 routers, losses":             {coldCase{routers: 18, targets: 6, rate: 4, demand: 20, lost: 0.1}, 0.4},
		"195 routers, losses":            {coldCase{routers: 195, targets: 6, rate: 4, demand: 20, lost: 0.1}, 0.4},
		"18 routers, issuer killed":      {coldCase{routers: 18, targets: 6, rate: 4, demand: 20, killEvery: 3 * time.Second}, 0.3},
		"131 routers, issuer killed":     {coldCase{routers: 131, targets: 6, rate: 4, demand: 20, killEvery: 2 * time.Second, lost: 0.05}, 0.2},
		"195 routers, issuer killed":     {coldCase{routers: 195, targets: 6, rate: 8, demand: 20, killEvery: 2 * time.Second}, 0.2},
		"18 routers, frozen issuer":      {coldCase{routers: 18, targets: 6, rate: 8, demand: 30, freezeEvery: 3 * time.Second}, 0.2},
		"131 routers, frozen issuer":     {coldCase{routers: 131, targets: 6, rate: 8, demand: 30, freezeEvery: 2 * time.Second}, 0.2},
		"18 routers, all restart":        {coldCase{routers: 18, targets: 6, rate: 4, demand: 20, restartAt: 10 * time.Second}, 0.5},
		"131 routers, all restart":       {coldCase{routers: 131, targets: 6, rate: 4, demand: 20, restartAt: 10 * time.Second, lost: 0.05}, 0.4},
		"195 routers, all restart":       {coldCase{routers: 195, targets: 6, rate: 4, demand: 20, restartAt: 10 * time.Second}, 0.3},
		"two views of the size, 18":      {coldCase{routers: 18, targets: 6, rate: 8, demand: 30, joinAt: 10 * time.Second}, 0.5},
		"two views of the size, 195":     {coldCase{routers: 195, targets: 6, rate: 8, demand: 30, joinAt: 10 * time.Second}, 0.4},
		"131 routers, divided in halves": {coldCase{routers: 131, targets: 6, rate: 8, demand: 30, divideAt: 8 * time.Second, part: 0.5}, 0.3},
		"18 routers, divided":            {coldCase{routers: 18, targets: 6, rate: 8, demand: 30, divideAt: 8 * time.Second, part: 0.3}, 0.5},
		"131 routers, cold again":        {coldCase{routers: 131, targets: 6, rate: 4, demand: 20, again: true}, 0.1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				f := newColdSimulation(tt.coldCase, seed)
				f.play()
				most, total := f.worst()
				used := float64(total) / (tt.rate * float64(tt.targets) * coldPlayTime.Seconds())
				t.Logf("seed %d: at most %d in a second, %.0f are allowed; %.2f of the rate used", seed, most, 1.5*tt.rate+5, used)
				require.LessOrEqual(t, float64(most), 1.5*tt.rate+5, "seed %d", seed)
				require.GreaterOrEqual(t, used, tt.minUsed, "seed %d", seed)
			}
		})
	}
}
