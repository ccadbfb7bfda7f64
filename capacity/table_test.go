package capacity_test

import (
	"math"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/capacity"
)

var start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

const engines = 8

// newTable returns a table with engines of one service, whose keys count from 1.
func newTable() *capacity.Table {
	t := capacity.NewTable()
	t.SetTargets(map[string][]capacity.TargetKey{"models": keys(1)})
	return t
}

func keys(first capacity.TargetKey) []capacity.TargetKey {
	out := make([]capacity.TargetKey, engines)
	for i := range out {
		out[i] = first + capacity.TargetKey(i)
	}
	return out
}

// usual is the pause of an engine as usual with a batch of 8.
const usual = 36 * time.Millisecond

// observe lets every engine be observed ten times a second for a time, with its pause.
func observe(t *capacity.Table, from time.Time, d time.Duration, pause func(k capacity.TargetKey) time.Duration) time.Time {
	for at := time.Duration(0); at < d; at += 100 * time.Millisecond {
		for _, k := range keys(1) {
			t.Observe(k, capacity.Pause{Each: pause(k), Batch: 8}, from.Add(at))
		}
	}
	return from.Add(d)
}

func asUsual(capacity.TargetKey) time.Duration { return usual }

// slowFirst makes the first engine take five times as long.
func slowFirst(k capacity.TargetKey) time.Duration {
	if k == 1 {
		return 5 * usual
	}
	return usual
}

// TestSilentSlowdown guards against an engine that slows down five times without saying so being
// noticed too late, or remembered for too long. Load: a tenth of a second between observations.
func TestSilentSlowdown(t *testing.T) {
	table := newTable()
	now := observe(table, start, 5*time.Second, asUsual)
	require.InDelta(t, 1, table.Estimate(1, now).Slowness(), 0.05)
	now = observe(table, now, 2*time.Second, slowFirst)
	require.Greater(t, table.Estimate(1, now).Slowness(), 2.)
	changes := table.Changes(now)
	require.Len(t, changes, 1)
	require.Equal(t, capacity.TargetKey(1), changes[0].Target)
	require.True(t, changes[0].Slow)
	require.Greater(t, table.Slowest("models", now), 2.)
	require.Empty(t, table.Changes(now), "each change is reported once")
	now = observe(table, now, 4*time.Second, slowFirst)
	require.InDelta(t, 5, table.Estimate(1, now).Slowness(), 1)
	now = observe(table, now, 4*time.Second, asUsual)
	require.Less(t, table.Estimate(1, now).Slowness(), 1.5)
	changes = table.Changes(now)
	require.Len(t, changes, 1)
	require.False(t, changes[0].Slow)
	require.InDelta(t, 1, table.Slowest("models", now), 0)
}

// TestWrongLowEstimate guards against an engine that counts as slow by mistake and gets no request,
// so that nobody finds out. The estimate decays to the service's median with its time constant of
// 2 s, the others being used.
func TestWrongLowEstimate(t *testing.T) {
	table := newTable()
	now := observe(table, start, 5*time.Second, asUsual)
	table.RecordFromPeer([]capacity.Report{{Target: 1, Count: 4, Pause: 400, Batch: 8}}, now)
	table.RecordFromPeer([]capacity.Report{{Target: 1, Count: 4, Pause: 400, Batch: 8}}, now)
	wrong := table.Estimate(1, now).Slowness()
	require.Greater(t, wrong, 1.5)
	for range 80 {
		for _, k := range keys(1)[1:] {
			table.Observe(k, capacity.Pause{Each: usual, Batch: 8}, now)
		}
		now = now.Add(100 * time.Millisecond)
	}
	require.Less(t, table.Estimate(1, now).Slowness(), 1+(wrong-1)/2)
	now = observe(table, now, time.Second, asUsual)
	require.InDelta(t, 1, table.Estimate(1, now).Slowness(), 0.1, "ordinary traffic corrects it")
}

// TestStatedSlowness guards against a slowness that was stated for a moment being taken for
// lasting, and against one that is stated now being ignored.
func TestStatedSlowness(t *testing.T) {
	table := newTable()
	now := observe(table, start, 5*time.Second, asUsual)
	table.Observe(1, capacity.Stated{Percent: 250}, now)
	require.InDelta(t, 2.5, table.Estimate(1, now).Slowness(), 0.1)
	table.Observe(1, capacity.Pause{Each: 5 * usual / 2, Batch: 8}, now)
	require.InDelta(t, 2.5, table.Estimate(1, now).Slowness(), 0.1, "the pause is as stated")
	now = now.Add(time.Second)
	require.InDelta(t, 1, table.Estimate(1, now).Slowness(), 0.1)
	for _, percent := range []int{0, -100, math.MaxInt} {
		table.Observe(1, capacity.Stated{Percent: percent}, now)
		require.InDelta(t, 1, table.Estimate(1, now).Slowness(), 0.1, percent)
	}
}

// TestNewIncarnation guards against an estimate that outlasts a restart of the target.
func TestNewIncarnation(t *testing.T) {
	table := newTable()
	now := observe(table, start, 5*time.Second, slowFirst)
	next := keys(2)
	next[engines-1] = 99
	table.SetTargets(map[string][]capacity.TargetKey{"models": next})
	require.InDelta(t, 1, table.Estimate(99, now).Slowness(), 0.01, "another incarnation is as usual")
	require.Zero(t, table.Estimate(1, now), "the old one is forgotten")
	table.Observe(1, capacity.Pause{Each: usual, Batch: 1}, now)
	require.Zero(t, table.Estimate(1, now), "targets that are not in use take no memory")
}

// TestWithoutObservations guards against estimates from nothing: a service that was not observed has
// none, also where another one was.
func TestWithoutObservations(t *testing.T) {
	table := newTable()
	table.SetTargets(map[string][]capacity.TargetKey{"models": keys(1), "booking": keys(100)})
	now := observe(table, start, time.Second, asUsual)
	require.Zero(t, table.Estimate(100, now))
	require.NotZero(t, table.Estimate(1, now))
}

// TestAbsurdObservations guards against figures of targets or peers that can't be true, such as
// those of a router that stood still.
func TestAbsurdObservations(t *testing.T) {
	table := newTable()
	now := observe(table, start, 5*time.Second, asUsual)
	before := table.Estimate(1, now)
	for _, o := range []capacity.Observation{
		capacity.Pause{Each: -time.Second, Batch: 8},
		capacity.Pause{Each: time.Hour, Batch: 8},
		capacity.Pause{Each: usual, Batch: -1},
		capacity.FirstEvent{Tokens: 10, Took: time.Second},
		capacity.FirstEvent{Tokens: math.MaxInt, Took: time.Millisecond},
		capacity.Served{Took: -time.Second},
		capacity.Served{Took: time.Hour},
	} {
		table.Observe(1, o, now)
		require.Equal(t, before, table.Estimate(1, now), "%#v", o)
	}
	inf, nan := math.Inf(1), math.NaN()
	table.RecordFromPeer([]capacity.Report{
		{Target: 1, Pause: inf, Batch: 8},
		{Target: 1, Pause: nan, Served: nan, PrefillRate: nan},
		{Target: 1, Pause: -4, Served: inf, PrefillRate: inf},
		{Target: 1, Pause: 400, Batch: -1},
		{Target: 1, Pause: 400, Age: -time.Second},
		{Target: 1, Pause: 400, Age: time.Hour},
	}, now)
	require.Equal(t, before, table.Estimate(1, now))
	table.Observe(1, capacity.Pause{Each: 20 * time.Second, Batch: 8}, now)
	require.Less(t, table.Estimate(1, now).Slowness(), 1.5, "one outlier makes no target slow")
}

// TestRoom guards against requests to a target that just had no room, and against avoiding it for
// longer than a second.
func TestRoom(t *testing.T) {
	table := newTable()
	table.Observe(1, capacity.Refused{Beside: 5}, start)
	require.False(t, table.Estimate(1, start).HasRoom(5))
	require.True(t, table.Estimate(1, start).HasRoom(4))
	require.True(t, table.Estimate(1, start.Add(1100*time.Millisecond)).HasRoom(5))
}

// TestPrediction checks that a prediction grows with the load and the prompts ahead.
func TestPrediction(t *testing.T) {
	table := newTable()
	now := observe(table, start, 5*time.Second, asUsual)
	for _, k := range keys(1) {
		table.Observe(k, capacity.FirstEvent{Tokens: 5600, Took: 124 * time.Millisecond}, now)
	}
	now = now.Add(300 * time.Millisecond)
	e := table.Estimate(1, now)
	require.InDelta(t, 56, e.PrefillRate(), 2)
	require.InDelta(t, float64(usual), float64(e.Predict(7, 0).Pause), float64(2*time.Millisecond))
	require.Greater(t, e.Predict(20, 0).Pause, e.Predict(7, 0).Pause)
	require.InDelta(t, 224, float64(e.Predict(7, 11200).FirstEvent.Milliseconds()), 10)
	require.Equal(t, e.Predict(0, 0), e.Predict(-3, -5), "loads of peers may be negative for a moment")
	require.Zero(t, capacity.Estimate{}.Predict(3, 1000))
}

// TestReports guards against datagrams that are too long, that lack a slow engine, or that leave out
// that it is as usual again.
func TestReports(t *testing.T) {
	own, peer := newTable(), newTable()
	send := func(now time.Time) []capacity.Report {
		r := own.Own(200*time.Millisecond, now)
		peer.RecordFromPeer(r, now)
		return r
	}
	now := observe(own, start, 5*time.Second, asUsual)
	require.NotEmpty(t, send(now), "what is usual is told now and then")
	now = observe(own, now, time.Second, asUsual)
	require.Empty(t, send(now), "not again at once")
	now = observe(own, now, 2*time.Second, slowFirst)
	reports := send(now)
	require.Len(t, reports, 1)
	require.Equal(t, capacity.TargetKey(1), reports[0].Target)
	require.Greater(t, peer.Estimate(1, now).Slowness(), 1.5)
	require.InDelta(t, 1, peer.Estimate(2, now).Slowness(), 0.1)
	require.Empty(t, own.Own(200*time.Millisecond, now.Add(400*time.Millisecond)), "only what was observed lately")
	for range 30 {
		now = observe(own, now, 200*time.Millisecond, asUsual)
		send(now)
	}
	require.InDelta(t, 1, peer.Estimate(1, now).Slowness(), 0.2)
	all := observe(own, now, time.Second, func(k capacity.TargetKey) time.Duration { return time.Duration(k) * usual })
	require.LessOrEqual(t, len(own.Own(time.Second, all)), capacity.MaxReports)
}

// TestConcurrentUse is for the race detector.
func TestConcurrentUse(t *testing.T) {
	table := newTable()
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 200 {
				now := start.Add(time.Duration(n*7) * time.Millisecond)
				table.Observe(capacity.TargetKey(1+n%engines), capacity.Pause{Each: usual, Batch: i}, now)
				table.RecordFromPeer(table.Own(time.Second, now), now)
				table.Estimate(2, now)
				table.Changes(now)
				table.SetTargets(map[string][]capacity.TargetKey{"models": keys(1)})
			}
		})
	}
	wg.Wait()
}

// BenchmarkEstimates measures what a choice among the engines of a service adds.
func BenchmarkEstimates(b *testing.B) {
	for _, n := range []int{90, 600} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			table := capacity.NewTable()
			all := make([]capacity.TargetKey, n)
			for i := range all {
				all[i] = capacity.TargetKey(i + 1)
			}
			table.SetTargets(map[string][]capacity.TargetKey{"models": all})
			out := make([]capacity.Estimate, n)
			now := start
			for b.Loop() {
				now = now.Add(5 * time.Millisecond)
				table.Observe(3, capacity.Pause{Each: usual, Batch: 8}, now)
				capacity.Estimates(table, all, now, out)
			}
		})
	}
}
