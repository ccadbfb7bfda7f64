package fitting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/crew"
)

// engineWith returns a candidate with requests that need tokens; 0 means unknown.
func engineWith(requests, tokens int) Candidate {
	return Candidate{
		Target: crew.NewTarget("a", "s", "10.0.0.1:1", crew.WithSlots(64)),
		Load:   NewLoad(requests, 0).WithKVTokens(tokens),
	}
}

// TestWithMemory guards against sending requests to engines that will run out of memory while
// others have room, and against leaving out engines that have room.
func TestWithMemory(t *testing.T) {
	const capacity = 100_000
	long := NewWork("m", []Part{NewPart(1, 8000), NewPart(2, 2000)}, 10_000, 1600).WithLengthHint(400)
	tests := map[string]struct {
		all           []Candidate
		priority      int
		overloadedFor time.Duration
		work          Work
		want          []int
		shortage      Shortage
	}{
		"room everywhere":               {[]Candidate{engineWith(8, 80_000), engineWith(1, 10_000)}, 2, 0, long, []int{0, 1}, NoShortage},
		"one is full":                   {[]Candidate{engineWith(9, 95_000), engineWith(8, 80_000)}, 0, 0, long, []int{1}, NoShortage},
		"all are full":                  {[]Candidate{engineWith(9, 95_000), engineWith(9, 90_000)}, 0, 0, long, []int{0, 1}, MemoryShortage},
		"unknown counts as the mean":    {[]Candidate{engineWith(10, 0), engineWith(8, 80_000)}, 0, 0, long, []int{1}, NoShortage},
		"nothing is known":              {[]Candidate{engineWith(40, 0), engineWith(20, 0)}, 0, 0, long, []int{0, 1}, NoShortage},
		"less urgent, before a refusal": {[]Candidate{engineWith(8, 85_000)}, 2, 0, long, []int{0}, NoShortage},
		"less urgent, in a shortage":    {[]Candidate{engineWith(8, 85_000)}, 2, time.Second, long, []int{0}, MemoryShortage},
		"urgent, in a shortage":         {[]Candidate{engineWith(8, 85_000)}, 0, time.Second, long, []int{0}, NoShortage},
		"larger than the memory":        {[]Candidate{engineWith(0, 0)}, 0, 0, NewWork("m", nil, 2*capacity, 0), []int{0}, NoShortage},
		"overflow":                      {[]Candidate{engineWith(1, 10)}, 0, 0, NewWork("m", nil, 1<<62, 1<<62), []int{0}, MemoryShortage},
		"no tokens stated":              {[]Candidate{engineWith(9, 200_000)}, 0, 0, NewWork("m", nil, 0, 0), []int{0}, NoShortage},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := Request{Work: tt.work, Slots: 64, KVCapacity: capacity, Priority: tt.priority, OverloadedFor: tt.overloadedFor}
			left := eligible(tt.all)
			got, shortage := withMemory(q, tt.all, left)
			require.Equal(t, tt.shortage, shortage)
			require.Equal(t, tt.want, got)
		})
	}
}

// TestNoShortageChangesNothing guards against shares, memory and prefill time that change a choice
// while there is room for all.
func TestNoShortageChangesNothing(t *testing.T) {
	work := NewWork("m", []Part{NewPart(1, 8000), NewPart(2, 2000)}, 10_000, 1600)
	for random := range uint64(200) {
		var all []Candidate
		for i := range uint64(9) {
			c := engineWith(int(mix(random+i)%20), int(mix(random*i)%200_000))
			c.Target = crew.NewTarget(string(rune('a'+i)), "s", "10.0.0.1:1")
			c.Cached = mix(random^i)%3 == 0
			c.Load = c.Load.Plus(NewLoad(0, int(mix(random+7*i)%20_000)))
			all = append(all, c)
		}
		before := Request{Work: work, Slots: 64, ServiceTime: time.Second, TimeLeft: 10 * time.Second, Objective: time.Second, Priority: 2, Random: random}
		after := before
		after.KVCapacity, after.Overuse, after.PrefillTime = 500_000, 50, 20*time.Millisecond
		require.Equal(t, Choose(before, all), Choose(after, all))
	}
}

// TestShortageIsNamed guards against refusals whose reason is not the one that operators have to
// mend, and against shares that decide before anything is refused.
func TestShortageIsNamed(t *testing.T) {
	work := NewWork("m", nil, 1000, 100)
	busy := func(requests, prefill, tokens int) []Candidate {
		c := engineWith(requests, tokens)
		c.Load = c.Load.Plus(NewLoad(0, prefill))
		return []Candidate{c}
	}
	tests := map[string]struct {
		all           []Candidate
		overuse       float64
		overloadedFor time.Duration
		want          Shortage
	}{
		"room":                         {busy(10, 1000, 10_000), 9, time.Second, NoShortage},
		"slots":                        {busy(20, 1000, 10_000), 0, 0, SlotShortage},
		"memory":                       {busy(10, 1000, 99_500), 0, 0, MemoryShortage},
		"prefill":                      {busy(10, 60_000, 10_000), 0, 0, PrefillShortage},
		"share of slots":               {busy(13, 1000, 10_000), 9, time.Second, ShareShortage},
		"share of prefill":             {busy(10, 40_000, 10_000), 9, time.Second, ShareShortage},
		"above its share, no refusals": {busy(13, 1000, 10_000), 9, 0, NoShortage},
		"within its share":             {busy(13, 1000, 10_000), 1, time.Second, NoShortage},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := Request{
				Work: work, Slots: 12, KVCapacity: 100_000, ServiceTime: time.Second, PrefillTime: 10 * time.Millisecond,
				TimeLeft: 9 * time.Second, Objective: time.Second, Overuse: tt.overuse, OverloadedFor: tt.overloadedFor,
			}
			got := NoShortage
			if full, ok := Choose(q, tt.all).(Overloaded); ok {
				got = full.Shortage
				require.LessOrEqual(t, full.RetryAfter, q.TimeLeft/maxRetryAfterDivisor*5/4)
				require.GreaterOrEqual(t, full.RetryAfter, minRetryAfter*3/4)
			}
			require.Equal(t, tt.want, got, "%s", got)
		})
	}
}

// TestReturnsAreSpread guards against callers that were rejected together and come back together.
func TestReturnsAreSpread(t *testing.T) {
	all := []Candidate{engineWith(30, 0)}
	first, last := time.Hour, time.Duration(0)
	for random := range uint64(1000) {
		q := Request{Slots: 20, ServiceTime: time.Second, TimeLeft: 9 * time.Second, Random: random}
		d := q.returnTime(all, []int{0}, SlotShortage)
		first, last = min(first, d), max(last, d)
	}
	require.Greater(t, last, 3*first)
	require.LessOrEqual(t, last, 3*time.Second)
}

// TestPrefillTimes guards against taking a target that is slow for any prompt for one that is short
// of prefill time.
func TestPrefillTimes(t *testing.T) {
	tests := map[string]struct {
		ms   func(tokens int) int
		want time.Duration
	}{
		"by tokens":        {func(n int) int { return 5 + n/50 }, 20 * time.Millisecond},
		"slow for any":     {func(n int) int { return 700 + n/50 }, 20 * time.Millisecond},
		"always the same":  {func(int) int { return 700 }, 0},
		"nothing to fetch": {func(int) int { return 0 }, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			times := NewPrefillTimes()
			require.Zero(t, times.PerThousand("s"))
			for i := range 100 {
				n := 1000 * (1 + i%20)
				times.Observe("s", n, time.Duration(tt.ms(n))*time.Millisecond)
			}
			require.InDelta(t, tt.want.Seconds(), times.PerThousand("s").Seconds(), tt.want.Seconds()/10)
		})
	}
	times := NewPrefillTimes()
	times.Observe("s", 1000, time.Second)
	require.Zero(t, times.PerThousand("s"), "one observation")
}

// TestPrefillTimesComeDown guards against one late first event, of an engine that stood still, for which requests are
// refused long after.
func TestPrefillTimesComeDown(t *testing.T) {
	const (
		perThousand = 20 * time.Millisecond
		standstill  = 1500 * time.Millisecond
		// sound is how many first events later nothing of it is left to speak of.
		sound = 50
	)
	for name, tokens := range map[string]int{"short prompts": 800, "long prompts": 12_000} {
		t.Run(name, func(t *testing.T) {
			times := NewPrefillTimes()
			observe := func(n int) {
				for i := range n {
					tokens := tokens * (1 + i%3)
					times.Observe("s", tokens, perThousand*time.Duration(tokens)/1000)
				}
			}
			observe(sound)
			usual := times.PerThousand("s")
			times.Observe("s", tokens, standstill)
			observe(sound)
			require.InDelta(t, usual.Seconds(), times.PerThousand("s").Seconds(), usual.Seconds()/4)
		})
	}
}

// TestKVTokens guards against estimates above the maximum, and against counting cached parts.
func TestKVTokens(t *testing.T) {
	parts := []Part{NewPart(1, 700), NewPart(2, 300)}
	tests := map[string]struct {
		work             Work
		uncached, cached int
	}{
		"estimate":               {NewWork("m", parts, 1000, 400).WithLengthHint(100), 1100, 400},
		"estimate above maximum": {NewWork("m", parts, 1000, 400).WithLengthHint(900), 1400, 700},
		"no estimate":            {NewWork("m", parts, 1000, 400), 1400, 700},
		"no maximum":             {NewWork("m", parts, 1000, 0).WithLengthHint(100), 1100, 400},
		"unknown prompt":         {NewWork("m", parts, 0, 400), 0, 0},
		"parts above the prompt": {NewWork("m", parts, 500, 400), 900, 400},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.uncached, tt.work.KVTokens(false))
			require.Equal(t, tt.cached, tt.work.KVTokens(true))
		})
	}
}
