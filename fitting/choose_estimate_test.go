package fitting

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/capacity"
	"vanillalug.example/crew"
	"vanillalug.example/lugtest"
)

// estimated returns candidates with estimates of targets whose observations are a number of times as
// long as usual.
func estimated(all []Candidate, slowness []float64, observation func(factor float64) capacity.Observation) []Candidate {
	table := capacity.NewTable()
	keys := make([]capacity.TargetKey, len(all))
	for i := range all {
		keys[i] = capacity.TargetKey(i + 1)
	}
	table.SetTargets(map[string][]capacity.TargetKey{"s": keys})
	for range 30 {
		for i, k := range keys {
			table.Observe(k, observation(slowness[i]), start)
		}
	}
	for i, k := range keys {
		all[i].Estimate = table.Estimate(k, start)
	}
	return all
}

func pauses(factor float64) capacity.Observation {
	return capacity.Pause{Each: time.Duration(factor * float64(36*time.Millisecond)), Batch: 8}
}

func served(factor float64) capacity.Observation {
	return capacity.Served{Took: time.Duration(factor * float64(20*time.Millisecond))}
}

// TestChooseBySpeed guards against requests to a target that is slow while others are not much more
// loaded, and against another choice than by the loads where all are as fast.
func TestChooseBySpeed(t *testing.T) {
	plain := func(requests int) Candidate {
		return Candidate{
			Target: crew.NewTarget("w"+strconv.Itoa(requests), "s", "10.0.0.1:1", crew.WithSlots(6)), Load: NewLoad(requests, 0),
		}
	}
	engines := func() []Candidate { return []Candidate{engine("a", 6, 0), engine("b", 9, 0), engine("c", 9, 3000)} }
	tests := map[string]struct {
		q           Request
		all         []Candidate
		slowness    []float64
		observation func(float64) capacity.Observation
		want        int
	}{
		"engines as fast":    {Request{Work: long, Slots: 64}, cachedAll(engines()), []float64{1, 1, 1}, pauses, 0},
		"least loaded slow":  {Request{Work: long, Slots: 64, Random: 2}, cachedAll(engines()), []float64{5, 1, 1}, pauses, 1},
		"plain, as fast":     {Request{}, []Candidate{plain(3), plain(4), plain(5)}, []float64{1, 1, 1}, served, 0},
		"plain, idle, slow":  {Request{}, []Candidate{plain(0), plain(2), plain(4)}, []float64{5, 1, 1}, served, 1},
		"plain, full, quick": {Request{}, []Candidate{plain(6), plain(3), plain(5)}, []float64{0.5, 1, 1}, served, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			candidates := estimated(tt.all, tt.slowness, tt.observation)
			counts := make([]int, len(candidates))
			for n := range uint64(6000) {
				tt.q.Random = n
				counts[Choose(tt.q, candidates).(Chosen).Index]++
			}
			for i, n := range counts {
				require.LessOrEqual(t, n, counts[tt.want], "%d: %v", i, counts)
			}
		})
	}
}

func cachedAll(all []Candidate) []Candidate {
	for i := range all {
		all[i] = cached(all[i])
	}
	return all
}

// TestEstimatesKeepLoadBound guards against estimates that lift the bound on load.
func TestEstimatesKeepLoadBound(t *testing.T) {
	lugtest.Check(t, "200", "1", func(t *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(t, "n")
		var all []Candidate
		var slowness []float64
		total := 0
		for i := range n {
			c := engine(string(rune('a'+i)), rapid.IntRange(0, 40).Draw(t, "requests"), rapid.IntRange(0, 40000).Draw(t, "unread"))
			c.Cached = rapid.Bool().Draw(t, "held")
			total += c.Load.requests
			all = append(all, c)
			slowness = append(slowness, rapid.Float64Range(0.2, 8).Draw(t, "slowness"))
		}
		all = estimated(all, slowness, pauses)
		q := Request{Random: rapid.Uint64().Draw(t, "random")}
		if rapid.Bool().Draw(t, "engines") {
			q.Work, q.Slots = long, 64
		}
		v := Choose(q, all).(Chosen)
		require.LessOrEqual(t, float64(all[v.Index].Load.requests), 2*float64(total)/float64(n)+3, "the users' requirement")
	})
}

// TestWaitBySpeed guards against a predicted wait by the mean of the service at a target that is
// slower.
func TestWaitBySpeed(t *testing.T) {
	all := estimated([]Candidate{engine("a", 70, 0), engine("b", 70, 0), engine("c", 70, 0)}, []float64{4, 1, 1}, pauses)
	q := Request{Work: long, Slots: 64, ServiceTime: time.Second}
	require.Equal(t, time.Second, q.serviceTimeAt(engine("d", 0, 0)), "as before without observations")
	require.InDelta(t, 4, q.serviceTimeAt(all[0]).Seconds(), 0.4)
	require.InDelta(t, 1, q.serviceTimeAt(all[1]).Seconds(), 0.1)
}
