package size

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"vanillalug.example/dispatch"
	"vanillalug.example/lugtest/membertest"
	"vanillalug.example/roster"
)

// Membership is what one router spends on membership and loads: messages and
// bytes per second, cores and bytes of heap. LoadsKnown is the share of loads
// that routers have.
type Membership struct {
	Routers     int
	Messages    float64
	Bytes       float64
	CPU         float64
	Memory      float64
	Detection   time.Duration
	Leaving     time.Duration
	LoadAge     time.Duration
	LoadAgeP99  time.Duration
	LoadsKnown  float64
	Suspicions  int
	FalseDeaths int
}

const (
	membershipWarmUp = 20 * time.Second
	membershipTime   = 30 * time.Second
	stepTime         = 100 * time.Millisecond
	convergenceLimit = 60 * time.Second
)

// MeasureMembership simulates a number of routers that admit for a number of
// targets and propagate their loads by gossip.
func MeasureMembership(routers, targets int, seed uint64) Membership {
	before := heap()
	m := membertest.New(routers, seed, 0)
	w := newLoadPublishers(m, targets)
	w.run(membershipWarmUp)
	m0, b0 := w.traffic()
	cpu0 := processorTime()
	w.run(membershipTime)
	cpu := processorTime() - cpu0
	m1, b1 := w.traffic()
	out := Membership{
		Routers:  routers,
		Messages: float64(m1-m0) / membershipTime.Seconds() / float64(routers),
		Bytes:    float64(b1-b0) / membershipTime.Seconds() / float64(routers),
		CPU:      cpu.Seconds() / membershipTime.Seconds() / float64(routers),
		Memory:   float64(heap()-before) / float64(routers),
	}
	out.LoadAge, out.LoadAgeP99, out.LoadsKnown = w.loadAges()
	m.Leave(m.Names()[1])
	out.Leaving = w.awaitState(m.Names()[1], roster.Leaving)
	m.Kill(m.Names()[2])
	out.Detection = w.awaitState(m.Names()[2], roster.Gone)
	for _, name := range m.Names() {
		for _, c := range m.Node(name).Changes {
			if c.Member.State() == roster.Suspect && c.Member.Name() != m.Names()[2] {
				out.Suspicions++
			}
			if c.Member.State() == roster.Gone && c.Member.Name() != m.Names()[2] {
				out.FalseDeaths++
			}
		}
	}
	return out
}

// loadPublishers makes each target's owner publish its load twice a second.
type loadPublishers struct {
	m       *membertest.Cluster
	targets []string
	owner   map[string]string
}

func newLoadPublishers(m *membertest.Cluster, targets int) *loadPublishers {
	w := &loadPublishers{m: m, owner: map[string]string{}}
	for i := range targets {
		name := fmt.Sprintf("engine-%03d", i)
		w.targets = append(w.targets, name)
		w.owner[name] = dispatch.Owner(name, m.Names())
	}
	m.SetTargets(w.targets)
	return w
}

func (w *loadPublishers) run(d time.Duration) {
	for now := time.Duration(0); now < d; now += stepTime {
		w.m.Clock().Advance(stepTime)
		if now%(5*stepTime) == 0 {
			w.publish()
		}
	}
}

func (w *loadPublishers) publish() {
	at := w.m.Clock().Now()
	for _, t := range w.targets {
		w.m.Node(w.owner[t]).Loads.Put(dispatch.NewLoad(t, 9, dispatch.Up, at))
	}
}

func (w *loadPublishers) traffic() (messages, bytes int) {
	for _, name := range w.m.Names() {
		messages += w.m.Node(name).Messages
		bytes += w.m.Node(name).Bytes
	}
	return messages, bytes
}

// loadAges returns the mean and the 99th percentile of the ages of the loads
// that routers have, and the share of all loads that they have.
func (w *loadPublishers) loadAges() (mean, p99 time.Duration, known float64) {
	const bucket = 100 * time.Millisecond
	now := w.m.Clock().Now()
	counts := map[time.Duration]int{}
	sum, n := time.Duration(0), 0
	for _, name := range w.m.Names() {
		for _, t := range w.targets {
			if l, ok := w.m.Node(name).Loads.Get(t, now); ok {
				age := now.Sub(l.ObservedAt())
				counts[age/bucket]++
				sum += age
				n++
			}
		}
	}
	seen := 0
	for b := time.Duration(0); seen*100 < n*99; b++ {
		seen += counts[b]
		p99 = (b + 1) * bucket
	}
	return sum / time.Duration(max(n, 1)), p99, float64(n) / float64(len(w.targets)*len(w.m.Names()))
}

// awaitState advances the clock until all routers have a member in the state and
// returns how long that took.
func (w *loadPublishers) awaitState(name string, state roster.State) time.Duration {
	for d := time.Duration(0); d < convergenceLimit; d += stepTime {
		if _, others := w.m.CountState(name, state); others == 0 {
			return d
		}
		w.m.Clock().Advance(stepTime)
	}
	return convergenceLimit
}

// heap returns the bytes in use after a collection.
func heap() int64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
