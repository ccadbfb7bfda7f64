package size

import (
	"time"

	"vanillalug.example/lugtest/membertest"
	"vanillalug.example/roster"
)

// Failure is how the membership lives through the loss of many routers.
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
	// checkInterval is the time between two looks at what all routers believe.
	checkInterval = 500 * time.Millisecond
)

// MeasureLoss kills adjacent routers at once, as a rack or a place does when
// its power fails, and starts them again after a minute.
func MeasureLoss(routers, lost int, seed uint64) Failure {
	m := membertest.New(routers, seed, 0)
	m.Clock().Advance(membershipWarmUp)
	gone := m.Names()[10 : 10+lost]
	for _, name := range gone {
		m.Kill(name)
	}
	f := Failure{Lost: lost}
	f.Detection, f.PeakBytes = f.follow(m, func() bool { return believed(m, gone, roster.Gone) })
	f.FalseDeaths = wrongDeaths(m, gone)
	m.Clock().Advance(time.Minute)
	for _, name := range gone {
		m.Start(name)
		m.DeliverVMList(name)
	}
	f.Recovery, _ = f.follow(m, func() bool { return believed(m, m.Names(), roster.Alive) })
	return f
}

// MeasurePartition parts two regions for a time and lets them find each other.
func MeasurePartition(routers int, seed uint64) Failure {
	m := membertest.New(routers, seed, 0)
	m.Clock().Advance(membershipWarmUp)
	west := map[string]bool{}
	for _, name := range m.Names()[:routers/2] {
		west[name] = true
	}
	m.Partition(func(a, b string) bool { return west[a] != west[b] })
	f := Failure{Lost: routers / 2}
	f.Detection, f.PeakBytes = f.follow(m, func() bool { return parted(m, west) })
	m.Clock().Advance(10 * time.Minute)
	m.Partition(func(string, string) bool { return false })
	f.Recovery, _ = f.follow(m, func() bool { return believed(m, m.Names(), roster.Alive) })
	return f
}

// follow lets time pass until the condition holds. It returns the time and
// the most bytes that routers sent and received in a second, as a mean.
func (f Failure) follow(m *membertest.Cluster, holds func() bool) (took time.Duration, peak float64) {
	before := totalBytes(m)
	for d := time.Duration(0); d < failureLimit; d += stepTime {
		if d%checkInterval == 0 && holds() {
			return d, peak
		}
		m.Clock().Advance(stepTime)
		if d%listInterval == 0 {
			listAll(m)
		}
		if d%time.Second == 0 {
			now := totalBytes(m)
			peak = max(peak, float64(now-before)/float64(len(m.Names())))
			before = now
		}
	}
	return failureLimit, peak
}

func listAll(m *membertest.Cluster) {
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

func believed(m *membertest.Cluster, names []string, state roster.State) bool {
	for _, name := range names {
		if _, others := m.CountState(name, state); others > 0 {
			return false
		}
	}
	return true
}

func parted(m *membertest.Cluster, west map[string]bool) bool {
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

// wrongDeaths counts beliefs that a router which runs was gone.
func wrongDeaths(m *membertest.Cluster, gone []string) int {
	dead := map[string]bool{}
	for _, name := range gone {
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
