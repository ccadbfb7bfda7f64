package size

import (
	"time"

	"vanillalug.example/lugtest/membertest"
	"vanillalug.example/roster"
)

// Failure is how the membership detects the loss of many routers and recovers
// from it. Detection and Recovery are the times until all routers agree.
// PeakBytes is the most bytes that routers sent and received in a second, as a
// mean over them.
type Failure struct {
	Lost        int
	Detection   time.Duration
	Recovery    time.Duration
	PeakBytes   float64
	FalseDeaths int
}

const (
	failureLimit = 2 * time.Minute
	listInterval = 5 * time.Second
	// stateCheckInterval is the time between two checks of the states that all
	// routers have.
	stateCheckInterval = 500 * time.Millisecond
)

// MeasureLoss kills adjacent routers at once, as when a rack or a place loses
// its power, and starts them again after a minute.
func MeasureLoss(routers, lost int, seed uint64) Failure {
	m := membertest.New(routers, seed, 0)
	m.Clock().Advance(membershipWarmUp)
	killed := m.Names()[10 : 10+lost]
	for _, name := range killed {
		m.Kill(name)
	}
	f := Failure{Lost: lost}
	f.Detection, f.PeakBytes = f.await(m, func() bool { return allHaveState(m, killed, roster.Gone) })
	f.FalseDeaths = falseDeaths(m, killed)
	m.Clock().Advance(time.Minute)
	for _, name := range killed {
		m.Start(name)
		m.DeliverVMList(name)
	}
	f.Recovery, _ = f.await(m, func() bool { return allHaveState(m, m.Names(), roster.Alive) })
	return f
}

// MeasurePartition partitions two regions for ten minutes and then heals the
// link.
func MeasurePartition(routers int, seed uint64) Failure {
	m := membertest.New(routers, seed, 0)
	m.Clock().Advance(membershipWarmUp)
	west := map[string]bool{}
	for _, name := range m.Names()[:routers/2] {
		west[name] = true
	}
	m.Partition(func(a, b string) bool { return west[a] != west[b] })
	f := Failure{Lost: routers / 2}
	f.Detection, f.PeakBytes = f.await(m, func() bool { return partitionDetected(m, west) })
	m.Clock().Advance(10 * time.Minute)
	m.Partition(func(string, string) bool { return false })
	f.Recovery, _ = f.await(m, func() bool { return allHaveState(m, m.Names(), roster.Alive) })
	return f
}

// await advances the clock until done returns true. It returns the time that it
// took and the most bytes that routers sent and received in a second, as a mean
// over the routers.
func (f Failure) await(m *membertest.Cluster, done func() bool) (took time.Duration, peak float64) {
	before := totalBytes(m)
	for d := time.Duration(0); d < failureLimit; d += stepTime {
		if d%stateCheckInterval == 0 && done() {
			return d, peak
		}
		m.Clock().Advance(stepTime)
		if d%listInterval == 0 {
			deliverVMLists(m)
		}
		if d%time.Second == 0 {
			now := totalBytes(m)
			peak = max(peak, float64(now-before)/float64(len(m.Names())))
			before = now
		}
	}
	return failureLimit, peak
}

func deliverVMLists(m *membertest.Cluster) {
	for _, name := range m.Names() {
		if !m.Node(name).Down() {
			m.DeliverVMList(name)
		}
	}
}

func totalBytes(m *membertest.Cluster) int {
	sum := 0
	for _, name := range m.Names() {
		sum += m.Node(name).Bytes
	}
	return sum
}

// allHaveState reports whether all routers have the members in the state.
func allHaveState(m *membertest.Cluster, names []string, state roster.State) bool {
	for _, name := range names {
		if _, others := m.CountState(name, state); others > 0 {
			return false
		}
	}
	return true
}

// partitionDetected reports whether no router has a member of the other region
// that isn't gone.
func partitionDetected(m *membertest.Cluster, west map[string]bool) bool {
	for _, name := range m.Names() {
		for _, other := range m.Names() {
			p, ok := m.Node(name).Roster.Peer(other)
			if west[name] != west[other] && ok && p.State() != roster.Gone {
				return false
			}
		}
	}
	return true
}

// falseDeaths counts changes of a running router to the state gone.
func falseDeaths(m *membertest.Cluster, killed []string) int {
	dead := map[string]bool{}
	for _, name := range killed {
		dead[name] = true
	}
	n := 0
	for _, name := range m.Names() {
		for _, c := range m.Node(name).Changes {
			if c.Member.State() == roster.Gone && !dead[c.Member.Name()] && !dead[name] {
				n++
			}
		}
	}
	return n
}
