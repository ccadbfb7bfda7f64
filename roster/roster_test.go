package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
	"vanillalug.example/lugtest/membertest"
	"vanillalug.example/roster"
	"vanillalug.example/schedule"
)

// detectionLimit is the stated limit for a dead router or a leaving target.
const detectionLimit = 5 * time.Second

// within advances the clock until all routers believe the state of a member.
func within(m *membertest.Cluster, name string, state roster.State, limit time.Duration) (time.Duration, bool) {
	const step = 50 * time.Millisecond
	for d := time.Duration(0); d <= limit; d += step {
		if _, others := m.CountState(name, state); others == 0 {
			return d, true
		}
		m.Clock().Advance(step)
	}
	return limit, false
}

func TestDeadRouterIsDetected(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(20) {
		m := membertest.New(18, seed, 0)
		m.Clock().Advance(10 * time.Second)
		m.Kill("r007")
		d, ok := within(m, "r007", roster.Gone, detectionLimit)
		require.True(t, ok, "seed %d: not all routers know after %s", seed, detectionLimit)
		worst = max(worst, d)
	}
	t.Logf("worst of 20 seeds: %s", worst)
}

func TestLeavingSpreads(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(20) {
		m := membertest.New(18, seed, 0.05)
		m.Clock().Advance(10 * time.Second)
		m.Leave("r003")
		d, ok := within(m, "r003", roster.Leaving, detectionLimit)
		require.True(t, ok, "seed %d", seed)
		worst = max(worst, d)
	}
	t.Logf("worst of 20 seeds at 5%% loss: %s", worst)
}

// TestFalseSuspicions counts what goes wrong at 5% loss, and that all of it is
// put right.
func TestFalseSuspicions(t *testing.T) {
	suspected, gone := 0, 0
	for seed := range uint64(5) {
		m := membertest.New(18, seed, 0.05)
		m.Clock().Advance(10 * time.Minute)
		for _, name := range m.Names() {
			for _, c := range m.Node(name).Changes {
				switch c.Member.State() {
				case roster.Suspect:
					suspected++
				case roster.Gone:
					gone++
				}
			}
		}
		m.SetLoss(0)
		for _, name := range m.Names() {
			m.DeliverVMList(name)
		}
		m.Clock().Advance(10 * time.Second)
		for _, name := range m.Names() {
			_, others := m.CountState(name, roster.Alive)
			require.Zero(t, others, "seed %d: %s", seed, name)
		}
	}
	t.Logf("in 50 minutes of 18 routers at 5%% loss: %d beliefs of suspicion, %d of death", suspected, gone)
}

func TestPartedRegionsFindEachOther(t *testing.T) {
	m := membertest.New(12, 3, 0)
	m.Clock().Advance(5 * time.Second)
	west := func(name string) bool { return name < "r006" }
	m.Partition(func(a, b string) bool { return west(a) != west(b) })
	m.Clock().Advance(time.Minute)
	believers, _ := m.CountState("r000", roster.Gone)
	require.Equal(t, 6, believers)
	m.Partition(func(string, string) bool { return false })
	for range 20 {
		for _, name := range m.Names() {
			m.DeliverVMList(name)
		}
		m.Clock().Advance(5 * time.Second)
	}
	for _, name := range m.Names() {
		_, others := m.CountState(name, roster.Alive)
		require.Zero(t, others, name)
	}
}

// TestFrozenRouterNotices freezes a router until the others count it as gone.
// When it wakes it is uncertain until it has heard a peer, and comes back with
// a higher incarnation.
func TestFrozenRouterNotices(t *testing.T) {
	m := membertest.New(6, 1, 0)
	m.Clock().Advance(5 * time.Second)
	before := m.Node("r002").Roster.Self().Incarnation()
	m.Freeze("r002", true)
	m.Clock().Advance(10 * time.Second)
	require.False(t, m.Node("r002").Roster.Fresh())
	believers, _ := m.CountState("r002", roster.Gone)
	require.Equal(t, 5, believers)
	m.Freeze("r002", false)
	require.False(t, m.Node("r002").Roster.Fresh(), "before the first tick")
	_, ok := within(m, "r002", roster.Alive, detectionLimit)
	require.True(t, ok)
	require.True(t, m.Node("r002").Roster.Fresh())
	require.Greater(t, m.Node("r002").Roster.Self().Incarnation(), before)
}

func TestOutranks(t *testing.T) {
	member := func(incarnation uint64, s roster.State) roster.Member {
		return roster.NewMember("r", "", "", incarnation).WithState(s)
	}
	tests := map[string]struct {
		a, b roster.Member
		want bool
	}{
		"suspect over alive":                 {member(1, roster.Suspect), member(1, roster.Alive), true},
		"leaving over suspect":               {member(1, roster.Leaving), member(1, roster.Suspect), true},
		"alive not over leaving":             {member(1, roster.Alive), member(1, roster.Leaving), false},
		"higher incarnation over gone":       {member(2, roster.Alive), member(1, roster.Gone), true},
		"lower incarnation not over anybody": {member(1, roster.Gone), member(2, roster.Alive), false},
		"the same not over itself":           {member(1, roster.Alive), member(1, roster.Alive), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, tt.a.Supersedes(tt.b))
		})
	}
}

// order remembers the last belief of each router about each other one.
type order map[string]roster.Member

func (o order) check(t *rapid.T, m *membertest.Cluster) {
	for _, name := range m.Names() {
		n := m.Node(name)
		for _, other := range m.Names() {
			p, ok := n.Roster.Peer(other)
			if !ok || n.Down() {
				continue
			}
			key := fmt.Sprintf("%s/%d/%s", name, n.Roster.Self().Incarnation(), other)
			if last, seen := o[key]; seen && p.Incarnation() == last.Incarnation() {
				require.GreaterOrEqual(t, p.State(), last.State(),
					"%s went back from %s to %s about %s", name, last.State(), p.State(), other)
			}
			require.GreaterOrEqual(t, p.Incarnation(), o[key].Incarnation())
			o[key] = p
		}
	}
}

// TestMembershipOrder lets routers leave, die, freeze, start again and lose
// messages in any order: no belief ever goes back within one incarnation, and
// in the end the living agree about each other.
func TestMembershipOrder(t *testing.T) {
	steps := 0
	lugtest.Check(t, "60", "40", func(t *rapid.T) {
		m := membertest.New(6, rapid.Uint64().Draw(t, "seed"), 0)
		o := order{}
		name := rapid.SampledFrom(m.Names())
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				m.Clock().Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"loss":   func(t *rapid.T) { m.SetLoss(rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "loss")) },
			"kill":   func(t *rapid.T) { m.Kill(name.Draw(t, "kill")) },
			"start":  func(t *rapid.T) { m.Clock().Advance(time.Millisecond); m.Start(name.Draw(t, "start")) },
			"freeze": func(t *rapid.T) { m.Freeze(name.Draw(t, "freeze"), rapid.Bool().Draw(t, "on")) },
			"leave":  func(t *rapid.T) { m.Leave(name.Draw(t, "leave")) },
			"repeat": func(t *rapid.T) {
				for range 5 {
					m.Redeliver(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "message") })
				}
			},
			"list": func(t *rapid.T) { m.DeliverVMList(name.Draw(t, "list")) },
			"": func(t *rapid.T) {
				steps++
				o.check(t, m)
			},
		})
		settle(t, m)
	})
	t.Logf("%d steps", steps)
}

// settle lets the fleet run without faults and checks that it agrees.
func settle(t *rapid.T, m *membertest.Cluster) {
	m.SetLoss(0)
	for _, name := range m.Names() {
		m.Freeze(name, false)
	}
	for range 30 {
		for _, name := range m.Names() {
			if !m.Node(name).Down() {
				m.DeliverVMList(name)
			}
		}
		m.Clock().Advance(2 * time.Second)
	}
	for _, name := range m.Names() {
		want := roster.Gone
		if n := m.Node(name); !n.Down() {
			want = n.Roster.Self().State()
		}
		_, others := m.CountState(name, want)
		require.Zero(t, others, "%s should be believed %s", name, want)
	}
}

// TestSuccessorIsProbedEveryOtherTick: no member is left to chance.
func TestSuccessorIsProbedEveryOtherTick(t *testing.T) {
	clock := schedule.NewFake(time.Now())
	r := roster.New(clock, roster.NewMember("r05", "", "", 1))
	var peers []roster.Member
	for i := range 18 {
		peers = append(peers, roster.NewMember(fmt.Sprintf("r%02d", i), "", "", 1))
	}
	r.Handle(roster.UpdatesReceived{Updates: peers})
	probed := map[string]int{}
	for range 20 {
		for _, e := range r.Handle(roster.Tick{}) {
			if p, ok := e.(roster.Probe); ok {
				probed[p.Member.Name()]++
			}
		}
	}
	most := 0
	for _, n := range probed {
		most = max(most, n)
	}
	require.GreaterOrEqual(t, most, 10)
}

func TestSilentMembersAreNotTrustedAlone(t *testing.T) {
	clock := schedule.NewFake(time.Now())
	r := roster.New(clock, roster.NewMember("a", "", "", 1))
	r.Handle(roster.UpdatesReceived{Updates: []roster.Member{
		roster.NewMember("b", "", "", 1), roster.NewMember("c", "", "", 1),
	}})
	effects := r.Handle(roster.ProbeFailed{Name: "b"})
	require.Len(t, effects, 1)
	through, ok := effects[0].(roster.IndirectProbe)
	require.True(t, ok)
	require.Equal(t, "c", through.Via[0].Name())
	b, _ := r.Peer("b")
	require.Equal(t, roster.Alive, b.State())
}
