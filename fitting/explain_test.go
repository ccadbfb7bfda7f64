package fitting

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/crew"
	"vanillalug.example/lugtest"
)

// drawCandidate draws a candidate in any state.
func drawCandidate(t *rapid.T, i int) Candidate {
	seldom := func(label string) bool { return rapid.IntRange(0, 5).Draw(t, label) == 0 }
	c := Candidate{
		Target: crew.NewTarget("t"+strconv.Itoa(i), "s", "10.0.0.1:1", crew.WithSlots(6),
			crew.WithPlace(rapid.SampledFrom([]string{"here", "there"}).Draw(t, "place"))),
		Load: NewLoad(rapid.IntRange(0, 90).Draw(t, "requests"), rapid.IntRange(0, 200_000).Draw(t, "prefill")).
			WithKVTokens(rapid.IntRange(0, 400_000).Draw(t, "kv")),
		OwnRequests: rapid.IntRange(0, 3).Draw(t, "own"),
		Cached:      seldom("cached"), Suspect: seldom("suspect"), Tried: seldom("tried"),
		SourceOnly: seldom("source"), Limited: seldom("limited"),
	}
	if seldom("paused") {
		c.PausedFor = time.Second
	}
	if seldom("permit") {
		c.Limited, c.PermitIn = true, 300*time.Millisecond
	}
	if seldom("cold") {
		c.Limited, c.ColdFor = true, time.Minute
	}
	return c
}

func drawRequest(t *rapid.T) Request {
	q := Request{
		Place: "here", ServiceTime: time.Duration(rapid.IntRange(0, 500).Draw(t, "service")) * time.Millisecond,
		TimeLeft: 2 * time.Second, Objective: time.Second, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Overuse: rapid.Float64Range(0, 9).Draw(t, "overuse"), Random: rapid.Uint64().Draw(t, "random"),
	}
	if rapid.Bool().Draw(t, "refusing") {
		q.OverloadedFor = time.Second
	}
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 1:
		q.Work, q.Slots, q.KVCapacity, q.CopyRate = long, 64, 400_000, 1000
	case 2:
		q.Work, q.Slots, q.KVCapacity = NewWork("m", nil, 900, 100), 64, 400_000
	}
	q.PrefillTime = time.Duration(rapid.IntRange(0, 20).Draw(t, "prefill-time")) * time.Millisecond
	return q
}

// TestExplainIsTheChoice guards against an explanation of another choice than the one that a request with
// the same random number gets, and against one that contradicts it.
func TestExplainIsTheChoice(t *testing.T) {
	lugtest.Check(t, "2000", "1", func(t *rapid.T) {
		all := make([]Candidate, rapid.IntRange(0, 12).Draw(t, "candidates"))
		for i := range all {
			all[i] = drawCandidate(t, i)
		}
		q := drawRequest(t)
		e := Explain(q, all)
		require.Equal(t, Choose(q, all), e.Decision)
		require.Len(t, e.Considerations, len(all))
		chosen, ok := e.Decision.(Chosen)
		require.Equal(t, ok, e.Rule != NoRule)
		total := 0.0
		for i, c := range e.Considerations {
			total += c.Probability
			if own := all[i].exclusion(); !ok && own != NotExcluded && !e.OnlySuspects {
				require.Equal(t, own, c.Excluded, "candidate %d", i)
			}
			if !ok {
				require.NotEqual(t, NotExcluded, c.Excluded, "candidate %d of a refused request", i)
			}
		}
		if !ok {
			return
		}
		for n := range uint64(20) {
			other := q
			other.Random += n
			if again, ok := Choose(other, all).(Chosen); !ok || again.Index != chosen.Index {
				require.True(t, e.Draw, "another random number, another target")
			}
		}
		won := e.Considerations[chosen.Index]
		require.Equal(t, NotExcluded, won.Excluded)
		switch {
		case e.Rule.byWeight():
			require.InDelta(t, 1, total, 1e-9)
			require.Positive(t, won.Probability)
		case e.Rule == NearCache || e.Rule == LeastLoadedOfSome:
			require.True(t, won.Drawn)
		case e.Rule == LeastCost:
			for i, c := range e.Considerations {
				if c.Excluded == NotExcluded {
					require.LessOrEqual(t, won.Cost, c.Cost, "candidate %d", i)
				}
			}
		}
	})
}

// TestExplainedProbabilities guards against weights that are shown and aren't those of the draw.
func TestExplainedProbabilities(t *testing.T) {
	const draws = 20_000
	all := make([]Candidate, 4)
	for i := range all {
		all[i] = Candidate{
			Target: crew.NewTarget("w"+strconv.Itoa(i), "s", "10.0.0.1:1", crew.WithSlots(6)),
			Load:   NewLoad(3+2*i, 0), OwnRequests: i % 2,
		}
	}
	counts := make([]int, len(all))
	for n := range draws {
		counts[Choose(Request{Random: uint64(n)}, all).(Chosen).Index]++
	}
	e := Explain(Request{}, all)
	require.Equal(t, DrawnByWeight, e.Rule)
	for i, c := range e.Considerations {
		require.InDelta(t, c.Probability, float64(counts[i])/draws, 0.02, "target %d", i)
	}
}

// TestExplainedExclusions guards against a wrong reason for leaving a target out.
func TestExplainedExclusions(t *testing.T) {
	paused, later, full, ahead := engine("p", 1, 0), engine("l", 1, 0), engine("f", 4, 0), engine("a", 4, 90_000)
	paused.PausedFor, later.PermitIn = time.Second, time.Second
	full.Load = full.Load.WithKVTokens(399_000)
	free := engine("b", 4, 0)
	free.Load = free.Load.WithKVTokens(4000)
	ahead.Load = ahead.Load.WithKVTokens(4000)
	over := engine("o", 40, 0)
	q := Request{
		Work: long, Slots: 64, KVCapacity: 400_000, TimeLeft: 2 * time.Second, PrefillTime: 20 * time.Millisecond,
		OverloadedFor: time.Second, Objective: time.Second,
	}
	tests := map[string]struct {
		candidates []Candidate
		want       []Exclusion
	}{
		"state":             {[]Candidate{tried(free), suspect(free), sourceOnly(free), paused, later, free}, []Exclusion{AlreadyTried, TargetSuspect, CopySourceOnly, TargetPaused, PermitLater, NotExcluded}},
		"memory":            {[]Candidate{full, free}, []Exclusion{MemoryFull, NotExcluded}},
		"prompts":           {[]Candidate{ahead, free}, []Exclusion{PromptsAhead, NotExcluded}},
		"bound":             {[]Candidate{over, free, free, free}, []Exclusion{OverBound, NotExcluded, NotExcluded, NotExcluded}},
		"refused":           {[]Candidate{full, paused}, []Exclusion{NoRoom, TargetPaused}},
		"only suspect ones": {[]Candidate{suspect(free), tried(free)}, []Exclusion{NotExcluded, AlreadyTried}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var got []Exclusion
			for _, c := range Explain(q, tt.candidates).Considerations {
				got = append(got, c.Excluded)
			}
			require.Equal(t, tt.want, got)
		})
	}
}
