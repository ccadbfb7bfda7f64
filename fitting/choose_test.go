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

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func engine(id string, requests, unread int) Candidate {
	return Candidate{
		Target: crew.NewTarget(id, "s", "10.0.0.1:1", crew.WithSlots(64)),
		Load:   NewLoad(requests, unread),
	}
}

func cached(c Candidate) Candidate {
	c.Cached = true
	return c
}

func tried(c Candidate) Candidate {
	c.Tried = true
	return c
}

func suspect(c Candidate) Candidate {
	c.Suspect = true
	return c
}

func sourceOnly(c Candidate) Candidate {
	c.SourceOnly = true
	return c
}

var long = NewWork("m", []Part{NewPart(1, 512), NewPart(2, 10000), NewPart(3, 1300)}, 11812, 400)

func TestChooseEngine(t *testing.T) {
	tests := map[string]struct {
		candidates []Candidate
		want       int
	}{
		"cached, despite a higher load":             {[]Candidate{engine("a", 4, 0), cached(engine("b", 8, 0)), engine("c", 5, 0)}, 1},
		"less loaded of two with the prompt cached": {[]Candidate{cached(engine("a", 9, 0)), cached(engine("b", 8, 0)), engine("c", 5, 0)}, 1},
		"cached, with fewer prefill tokens":         {[]Candidate{cached(engine("a", 4, 9000)), cached(engine("b", 8, 0)), engine("c", 5, 0)}, 1},
		"cached, but over the load bound":           {[]Candidate{engine("a", 2, 0), cached(engine("b", 30, 0)), engine("c", 3, 0)}, 0},
		"cached, but tried":                         {[]Candidate{engine("a", 5, 0), tried(cached(engine("b", 0, 0))), engine("c", 3, 0)}, 2},
		"cached, but suspect":                       {[]Candidate{engine("a", 5, 0), suspect(cached(engine("b", 0, 0))), engine("c", 3, 0)}, 2},
		"suspect, if no other is left":              {[]Candidate{tried(engine("a", 5, 0)), suspect(engine("b", 0, 0))}, 1},
		"least loaded, if all are full":             {[]Candidate{cached(engine("a", 70, 0)), engine("b", 66, 0), engine("c", 64, 0)}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := Choose(Request{Work: long, Slots: 64}, tt.candidates)
			chosen, ok := v.(Chosen)
			require.True(t, ok, "%T", v)
			if name == "cached, but tried" || name == "cached, but suspect" {
				require.NotEqual(t, 1, chosen.Index)
				return
			}
			require.Equal(t, tt.want, chosen.Index)
		})
	}
	require.IsType(t, NoTarget{}, Choose(Request{Work: long, Slots: 64}, []Candidate{tried(engine("a", 0, 0))}))
	require.IsType(t, NoTarget{}, Choose(Request{Work: long, Slots: 64}, nil))
}

// TestEmptyCacheIndexesAgree checks that routers with an empty cache index send
// the same prompt to the same engine, and different prompts to different ones.
func TestEmptyCacheIndexesAgree(t *testing.T) {
	candidates := []Candidate{engine("a", 3, 0), engine("b", 4, 0), engine("c", 2, 0), engine("d", 3, 0)}
	used := map[int]bool{}
	for prompt := range uint64(40) {
		w := NewWork("m", []Part{NewPart(prompt, 10000), NewPart(99, 100)}, 10100, 10)
		first := Choose(Request{Work: w, Slots: 64, Random: 1}, candidates)
		require.Equal(t, first, Choose(Request{Work: w, Slots: 64, Random: 2}, candidates))
		used[first.(Chosen).Index] = true
	}
	require.Len(t, used, 4)
}

// TestChooseSource checks that an engine without the shared prompt copies it
// from one that has it cached, if copying is faster than prefill.
func TestChooseSource(t *testing.T) {
	const fast, slow = 1200, 40
	at := func(place string, requests int, cached bool) Candidate {
		return Candidate{
			Target: crew.NewTarget(place+"-"+strconv.Itoa(requests), "s", "10.0.0.1:1", crew.WithSlots(64), crew.WithPlace(place)),
			Load:   NewLoad(requests, 0), Cached: cached,
		}
	}
	tests := map[string]struct {
		rate       int
		candidates []Candidate
		want       Decision
	}{
		"chosen one has it cached":               {fast, []Candidate{at("a", 1, true), at("a", 2, false)}, Chosen{Index: 0, Source: NoSource}},
		"cached nowhere":                         {fast, []Candidate{at("a", 1, false)}, Chosen{Index: 0, Source: NoSource}},
		"cached at a target over the load bound": {fast, []Candidate{at("a", 30, true), at("a", 0, false)}, Chosen{Index: 1, Source: 0}},
		"cached at a target that is leaving":     {fast, []Candidate{at("a", 3, false), sourceOnly(at("a", 0, true))}, Chosen{Index: 0, Source: 1}},
		"only a target that is leaving is left":  {fast, []Candidate{sourceOnly(at("a", 0, true))}, NoTarget{}},
		"engines can't copy":                     {0, []Candidate{at("a", 30, true), at("a", 0, false)}, Chosen{Index: 1, Source: NoSource}},
		"prefill is faster":                      {slow, []Candidate{at("a", 30, true), at("a", 0, false)}, Chosen{Index: 1, Source: NoSource}},
		"source in the same place": {
			fast, []Candidate{at("a", 30, true), at("b", 31, true), at("b", 0, false), at("c", 1, false), at("c", 1, false)}, Chosen{Index: 2, Source: 1},
		},
		"less loaded of two sources in the same place": {
			fast, []Candidate{at("b", 32, true), at("b", 31, true), at("b", 0, false), at("c", 1, false), at("c", 1, false)}, Chosen{Index: 2, Source: 1},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, Choose(Request{Work: long, Slots: 64, CopyRate: tt.rate}, tt.candidates))
		})
	}
}

func TestChoosePlain(t *testing.T) {
	worker := func(id, place string, requests int) Candidate {
		return Candidate{
			Target: crew.NewTarget(id, "s", "10.0.0.1:1", crew.WithSlots(6), crew.WithPlace(place)),
			Load:   NewLoad(requests, 0),
		}
	}
	tests := map[string]struct {
		candidates []Candidate
		want       Decision
	}{
		"same place, among idle ones": {[]Candidate{worker("a", "x", 1), worker("b", "here", 2)}, Chosen{Index: 1, Source: NoSource}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, Choose(Request{Place: "here"}, tt.candidates))
		})
	}
}

// TestPlainTargetsAreDrawnByLoad checks that targets that aren't idle are drawn at random, the less
// loaded ones more often, and those with requests of this router less often. Routers that all choose the
// least loaded target overload it until they hear of each other's requests.
func TestPlainTargetsAreDrawnByLoad(t *testing.T) {
	worker := func(requests, own int, limited bool) Candidate {
		return Candidate{
			Target: crew.NewTarget("a", "s", "10.0.0.1:1", crew.WithSlots(6), crew.WithPlace("x")),
			Load:   NewLoad(requests, 0), OwnRequests: own, Limited: limited,
		}
	}
	tests := map[string]struct {
		candidates []Candidate
		// least and most bound the share of the draws of the second candidate.
		least, most float64
	}{
		"the same load":           {[]Candidate{worker(4, 0, false), worker(4, 0, false)}, 0.45, 0.55},
		"less loaded":             {[]Candidate{worker(6, 0, false), worker(4, 0, false)}, 0.55, 0.65},
		"idle":                    {[]Candidate{worker(12, 0, false), worker(0, 0, false)}, 0.8, 0.95},
		"own requests":            {[]Candidate{worker(4, 1, false), worker(4, 0, false)}, 0.6, 0.72},
		"at a limit, others busy": {[]Candidate{worker(6, 0, false), worker(0, 0, true)}, 0.7, 0.9},
		"tried":                   {[]Candidate{worker(0, 0, false), tried(worker(0, 0, false))}, 0, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const draws = 4000
			second := 0
			for i := range uint64(draws) {
				second += Choose(Request{Place: "here", Random: i}, tt.candidates).(Chosen).Index
			}
			share := float64(second) / draws
			require.GreaterOrEqual(t, share, tt.least)
			require.LessOrEqual(t, share, tt.most)
		})
	}
}

// TestChooseRespectsLoadBound checks that no engine beyond the load bound is
// chosen while another is within it, wherever prompts are cached.
func TestChooseRespectsLoadBound(t *testing.T) {
	lugtest.Check(t, "500", "1", func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "n")
		var all []Candidate
		total := 0
		for i := range n {
			c := engine(string(rune('a'+i)), rapid.IntRange(0, 40).Draw(t, "requests"), rapid.IntRange(0, 40000).Draw(t, "unread"))
			c.Cached = rapid.Bool().Draw(t, "held")
			total += c.Load.requests
			all = append(all, c)
		}
		v := Choose(Request{Work: long, Slots: 64}, all).(Chosen)
		mean := float64(total) / float64(n)
		require.LessOrEqual(t, float64(all[v.Index].Load.requests), 2*mean+3, "the users' requirement: at most twice the mean load plus three")
	})
}

func TestWorkKey(t *testing.T) {
	key := func(model string, ids ...uint64) uint64 {
		var parts []Part
		for _, id := range ids {
			parts = append(parts, NewPart(id, 10))
		}
		k, _ := NewWork(model, parts, 0, 0).PromptKey()
		return k
	}
	require.Equal(t, key("m", 1, 2, 3), key("m", 1, 2, 4), "the last part is not shared")
	require.NotEqual(t, key("m", 1, 2, 3), key("n", 1, 2, 3))
	require.NotEqual(t, key("m", 1, 2, 3), key("m", 2, 1, 3))
	require.NotEqual(t, key("m", 1, 2, 3), key("m", 1, 5, 3))
	_, ok := NewWork("m", []Part{NewPart(1, 1)}, 0, 0).PromptKey()
	require.False(t, ok)
	require.Equal(t, 10000, long.ReusableTokens())
}
