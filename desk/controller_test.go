package desk

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
	"vanillalug.example/schedule"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func newDesk(slots int) (*Controller, *schedule.Fake) {
	clock := schedule.NewFake(start)
	return New(clock, slots, WithRandom(func() float64 { return 0.5 })), clock
}

// wide is a pool whose bound never binds.
func wide() Pool { return NewPool(1, 1000, 10, 1000) }

func arrive(d *Controller, id, workspace string, opts ...RequestOption) []Effect {
	return d.Handle(Arrived{Request: NewRequest(id, workspace, opts...), Pool: wide()})
}

func TestPoolLimit(t *testing.T) {
	tests := map[string]struct {
		pool Pool
		want int
	}{
		"floor":          {NewPool(10, 0, 1.25, 4), 4},
		"a quarter more": {NewPool(10, 79, 1.25, 4), 10},
		"rounded up":     {NewPool(10, 80, 1.25, 4), 11},
		"no engines":     {NewPool(0, 0, 1.25, 3), 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, tt.pool.Limit()) })
	}
}

func TestArrival(t *testing.T) {
	tight := NewPool(2, 1, 1.25, 1)
	full := []Alternative{NewAlternative("e2", 9, 16)}
	free := []Alternative{NewAlternative("e2", 9, 16), NewAlternative("e3", 0, 16)}
	tests := map[string]struct {
		event Arrived
		want  Effect
	}{
		"room":                     {Arrived{Pool: wide()}, Admit{ID: "b"}},
		"over the bound":           {Arrived{Pool: tight, Alternatives: free}, Spill{ID: "b", Engine: "e3"}},
		"over the bound, last hop": {Arrived{Pool: tight, Alternatives: free, Last: true}, Wait{ID: "b"}},
		"over the bound, all full": {Arrived{Pool: tight, Alternatives: full}, Wait{ID: "b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d, _ := newDesk(16)
			arrive(d, "a", "w")
			arrive(d, "a2", "w")
			tt.event.Request = NewRequest("b", "w")
			require.Equal(t, tt.want, d.Handle(tt.event)[0])
		})
	}
}

// TestPatience: a request whose prompt is cached here waits for a while before
// it goes elsewhere, and only then.
func TestPatience(t *testing.T) {
	d, clock := newDesk(16)
	tight := NewPool(2, 1, 1.25, 1)
	free := []Alternative{NewAlternative("e2", 0, 16)}
	arrive(d, "a", "w")
	arrive(d, "a2", "w")
	patient := Arrived{Request: NewRequest("b", "w"), Pool: tight, Alternatives: free, LocalityWait: time.Second}
	require.Equal(t, []Effect{Wait{ID: "b"}}, d.Handle(patient))
	clock.Advance(900 * time.Millisecond)
	require.Empty(t, d.Handle(Tick{}))
	clock.Advance(100 * time.Millisecond)
	require.Equal(t, []Effect{Resubmit{ID: "b"}}, d.Handle(Tick{}))
	patient.LocalityWait = 0
	require.Equal(t, []Effect{Spill{ID: "b", Engine: "e2"}}, d.Handle(patient))
	require.Zero(t, d.Waiting())
}

// TestFreshChatsEvenOutTheLoad: a fresh chat goes from an engine above the mean
// to one below it; a returning one stays.
func TestFreshChatsEvenOutTheLoad(t *testing.T) {
	d, _ := newDesk(16)
	for i := range 4 {
		arrive(d, fmt.Sprint(i), "w")
	}
	pool := NewPool(3, 9, 1.25, 8)
	others := []Alternative{NewAlternative("e2", 3, 16), NewAlternative("e3", 2, 16)}
	fresh := Arrived{Request: NewRequest("b", "w"), Pool: pool, Alternatives: others, Uncached: true}
	require.Equal(t, []Effect{Spill{ID: "b", Engine: "e3"}}, d.Handle(fresh))
	fresh.Uncached = false
	require.Equal(t, []Effect{Admit{ID: "b"}}, d.Handle(fresh))
}

func TestRefusals(t *testing.T) {
	short := WithClass("batch", 1, 1, time.Second)
	d, clock := newDesk(1)
	arrive(d, "a", "w")
	require.Equal(t, Wait{ID: "b"}, arrive(d, "b", "w", short)[0])
	full, ok := arrive(d, "c", "w", short)[0].(Reject)
	require.True(t, ok)
	require.Equal(t, QueueFull, full.Reason)
	require.GreaterOrEqual(t, full.RetryAfter, time.Second)
	clock.Advance(time.Second)
	late, ok := d.Handle(Tick{})[0].(Reject)
	require.True(t, ok)
	require.Equal(t, QueueDeadline, late.Reason)
	arrive(d, "d", "w", short)
	closed, ok := d.Handle(Closed{})[0].(Reject)
	require.True(t, ok)
	require.Equal(t, EngineClosed, closed.Reason)
}

// TestHopelessWaitIsRefusedAtOnce: a request that cannot be served before its
// deadline gets its final answer on arrival.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	d, clock := newDesk(1)
	arrive(d, "r0", "w")
	for i := range 60 {
		arrive(d, fmt.Sprintf("r%d", i+1), "w", WithClass("c", 1, 1000, time.Minute))
	}
	for i := range 20 {
		clock.Advance(time.Second)
		d.Handle(Finished{ID: fmt.Sprintf("r%d", i)})
	}
	r, ok := arrive(d, "late", "w", WithClass("c", 1, 1000, 5*time.Second))[0].(Reject)
	require.True(t, ok)
	require.Equal(t, QueueTooSlow, r.Reason)
	require.Greater(t, r.RetryAfter, 30*time.Second)
}

// TestReportedLoadCounts: what another router admitted while the routers
// disagreed counts against the bound.
func TestReportedLoadCounts(t *testing.T) {
	d, clock := newDesk(8)
	arrive(d, "a", "w")
	clock.Advance(time.Second)
	d.Handle(LoadReported{InFlight: 7, Age: 200 * time.Millisecond})
	require.Equal(t, 7, d.Load())
	require.Equal(t, Admit{ID: "b"}, arrive(d, "b", "w")[0])
	require.Equal(t, 8, d.Load())
	require.Equal(t, Wait{ID: "c"}, arrive(d, "c", "w")[0])
	clock.Advance(time.Second)
	effects := d.Handle(LoadReported{InFlight: 2, Age: 200 * time.Millisecond})
	require.Equal(t, "c", effects[0].(Admit).ID)
	require.Equal(t, 3, d.Load())
}

// TestOwnRequestsAreNotCountedTwice: a late report that lacks or still has own
// requests adds nothing.
func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	d, clock := newDesk(8)
	for i := range 4 {
		arrive(d, fmt.Sprint(i), "w")
		clock.Advance(100 * time.Millisecond)
	}
	d.Handle(Finished{ID: "0"})
	d.Handle(Finished{ID: "1"})
	clock.Advance(50 * time.Millisecond)
	d.Handle(LoadReported{InFlight: 4, Age: 100 * time.Millisecond})
	require.Equal(t, 2, d.Load())
}

// TestDeskAgainstOracle checks after any events: the bound holds at admission,
// no request is lost or answered twice, queues stay in their limits, and no
// request waits while it may start.
func TestDeskAgainstOracle(t *testing.T) {
	steps, admitted := 0, 0
	lugtest.Check(t, "200", "80", func(t *rapid.T) {
		o := newOracle(rapid.IntRange(1, 12).Draw(t, "slots"))
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   o.arrive,
			"arrive-2": o.arrive,
			"finish":   o.finish,
			"withdraw": o.withdraw,
			"report": func(t *rapid.T) {
				o.take(t, o.desk.Handle(LoadReported{InFlight: len(o.running) + rapid.IntRange(0, 3).Draw(t, "foreign")}))
			},
			"pool": func(t *rapid.T) {
				o.pool = NewPool(rapid.IntRange(1, 5).Draw(t, "engines"), rapid.IntRange(0, 60).Draw(t, "load"), 1.25, 2)
				o.take(t, o.desk.Handle(PoolChanged{Pool: o.pool}))
			},
			"pass": func(t *rapid.T) {
				o.clock.Advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				o.take(t, o.desk.Handle(Tick{}))
			},
			"": func(t *rapid.T) {
				steps++
				require.Equal(t, len(o.waiting), o.desk.Waiting())
				require.GreaterOrEqual(t, o.desk.Load(), len(o.running))
				for class, n := range o.perClass() {
					require.LessOrEqual(t, n, 5, class)
				}
			},
		})
		admitted += o.admitted
	})
	t.Logf("%d steps, %d admitted", steps, admitted)
}

// oracle knows where each request stands by the answers alone.
type oracle struct {
	desk     *Controller
	clock    *schedule.Fake
	slots    int
	pool     Pool
	serial   int
	running  []string
	waiting  map[string]string
	admitted int
}

func newOracle(slots int) *oracle {
	d, clock := newDesk(slots)
	return &oracle{desk: d, clock: clock, slots: slots, pool: NewPool(1, 0, 1.25, 2), waiting: map[string]string{}}
}

func (o *oracle) arrive(t *rapid.T) {
	o.serial++
	id := fmt.Sprint(o.serial)
	class := rapid.SampledFrom([]string{"interactive", "batch"}).Draw(t, "class")
	workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
	r := NewRequest(id, workspace, WithClass(class, 2, 5, 3*time.Second))
	last := rapid.Bool().Draw(t, "last")
	other := NewAlternative("other", rapid.IntRange(0, 6).Draw(t, "other"), 6)
	effects := o.desk.Handle(Arrived{Request: r, Pool: o.pool, Alternatives: []Alternative{other}, Last: last})
	first := effects[0]
	if _, ok := first.(Wait); ok {
		o.waiting[id] = class
	}
	if e, ok := first.(Spill); ok {
		require.False(t, last)
		require.Equal(t, "other", e.Engine)
	}
	o.take(t, effects)
}

// take checks the answers. An admitted request never brings the engine over
// its slots or over the bound of the pool.
func (o *oracle) take(t *rapid.T, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Admit:
			o.running = append(o.running, e.ID)
			delete(o.waiting, e.ID)
			o.admitted++
			require.LessOrEqual(t, len(o.running), min(o.slots, o.pool.Limit()))
		case Reject:
			delete(o.waiting, e.ID)
			require.GreaterOrEqual(t, e.RetryAfter, time.Second)
		}
	}
}

func (o *oracle) finish(t *rapid.T) {
	if len(o.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(o.running)-1).Draw(t, "finish")
	id := o.running[i]
	o.running = slices.Delete(o.running, i, i+1)
	o.take(t, o.desk.Handle(Finished{ID: id}))
}

func (o *oracle) withdraw(t *rapid.T) {
	for id := range o.waiting {
		delete(o.waiting, id)
		o.take(t, o.desk.Handle(Canceled{ID: id}))
		return
	}
}

func (o *oracle) perClass() map[string]int {
	out := map[string]int{}
	for _, class := range o.waiting {
		out[class]++
	}
	return out
}

// served counts who is admitted while everybody waits.
func served(d *Controller, finish, n int) map[string]int {
	out := map[string]int{}
	running := []string{"first"}
	for range n {
		for range finish {
			id := running[0]
			running = running[1:]
			for _, e := range d.Handle(Finished{ID: id}) {
				if a, ok := e.(Admit); ok {
					running = append(running, a.ID)
					out[a.ID[:1]]++
				}
			}
		}
	}
	return out
}

func TestSharesAreWeighted(t *testing.T) {
	d, _ := newDesk(1)
	arrive(d, "first", "x")
	for i := range 300 {
		class := WithClass("c", 1, 1000, time.Hour)
		arrive(d, fmt.Sprintf("a%d", i), "a", class, WithShare(3))
		arrive(d, fmt.Sprintf("b%d", i), "b", class, WithShare(1))
	}
	got := served(d, 1, 200)
	require.InDelta(t, 150, got["a"], 2)
	require.InDelta(t, 50, got["b"], 2)
}

func TestInteractiveGoesFirstWithoutStarvingBatch(t *testing.T) {
	d, _ := newDesk(1)
	arrive(d, "first", "x")
	for i := range 300 {
		arrive(d, fmt.Sprintf("i%d", i), "a", WithClass("interactive", 8, 1000, time.Hour))
		arrive(d, fmt.Sprintf("b%d", i), "b", WithClass("batch", 1, 1000, time.Hour))
	}
	got := served(d, 1, 180)
	require.InDelta(t, 160, got["i"], 2)
	require.InDelta(t, 20, got["b"], 2)
}

// waits runs an engine for a time and returns the queue waits of the quiet
// workspaces. One workspace sends its rate times the surge.
func waits(seed uint64, surge float64) []time.Duration {
	const (
		slots   = 32
		quiet   = 9
		rate    = 1.6 // requests a second of each workspace
		length  = 10 * time.Minute
		service = 1500 * time.Millisecond
		step    = 5 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 7))
	d, clock := newDesk(slots)
	ends := map[string]time.Time{}
	var out []time.Duration
	take := func(effects []Effect) {
		for _, e := range effects {
			if a, ok := e.(Admit); ok {
				ends[a.ID] = clock.Now().Add(time.Duration((0.5 + random.Float64()) * float64(service)))
				if a.ID[0] == 'q' {
					out = append(out, a.Waited)
				}
			}
		}
	}
	serial := 0
	send := func(kind, workspace string, perSecond float64) {
		if random.Float64() < perSecond*step.Seconds() {
			serial++
			r := NewRequest(fmt.Sprintf("%s%d", kind, serial), workspace, WithClass("c", 1, 500, 20*time.Second))
			take(d.Handle(Arrived{Request: r, Pool: NewPool(1, 1000, 10, 1000)}))
		}
	}
	for now := time.Duration(0); now < length; now += step {
		clock.Advance(step)
		for _, id := range slices.Sorted(maps.Keys(ends)) {
			if !ends[id].After(clock.Now()) {
				delete(ends, id)
				take(d.Handle(Finished{ID: id}))
			}
		}
		take(d.Handle(Tick{}))
		for i := range quiet {
			send("q", fmt.Sprintf("quiet-%d", i), rate)
		}
		send("s", "surging", rate*surge)
	}
	return out
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}

// TestSurgeStaysWithItsWorkspace: a tenfold surge of one workspace leaves the
// 99th-percentile queue wait of the others within 20% of the unsurged run, or
// within a time that no caller notices.
func TestSurgeStaysWithItsWorkspace(t *testing.T) {
	const unnoticed = 50 * time.Millisecond
	for seed := range uint64(3) {
		calm := quantile(waits(seed, 1), 0.99)
		surged := quantile(waits(seed, 10), 0.99)
		t.Logf("seed %d: 99th percentile of queue waits: calm %s, surged %s", seed, calm, surged)
		require.LessOrEqual(t, surged, max(calm*12/10, unnoticed), "seed %d", seed)
	}
}
