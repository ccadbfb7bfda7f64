package fitting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/crew"
)

// TestTurnAway: what can't begin in time is refused at once and told when to
// come back; urgent work is let in for longer.
func TestTurnAway(t *testing.T) {
	const pace = 100 * time.Millisecond
	worker := func(requests int) Candidate {
		return Candidate{Target: crew.NewTarget("a", "s", "10.0.0.1:1", crew.WithSlots(10)), Load: NewLoad(requests, 0)}
	}
	tests := map[string]struct {
		requests, priority int
		pace, left, goal   time.Duration
		full               bool
	}{
		"room":                               {9, 2, pace, time.Second, 0, false},
		"a short wait":                       {13, 2, pace, time.Second, 0, false},
		"would wait in vain":                 {25, 0, pace, 100 * time.Millisecond, 0, true},
		"urgent work may wait":               {25, 0, pace, 200 * time.Millisecond, 0, false},
		"less urgent work may not":           {25, 1, pace, 200 * time.Millisecond, 0, true},
		"half the goal is left for the rest": {25, 0, pace, time.Second, 400 * time.Millisecond, false},
		"would begin late":                   {25, 0, pace, time.Second, 200 * time.Millisecond, true},
		"pace not known":                     {25, 2, 0, time.Millisecond, 0, false},
		"more than a target's queue":         {55, 0, time.Microsecond, time.Second, 0, true},
		"no time left but a free place":      {9, 0, pace, 0, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := Request{ServiceTime: tt.pace, TimeLeft: tt.left, Objective: tt.goal, Priority: tt.priority, Random: 5}
			v := Choose(q, []Candidate{worker(tt.requests), worker(tt.requests + 1)})
			full, ok := v.(Overloaded)
			require.Equal(t, tt.full, ok, "%T", v)
			if ok {
				require.GreaterOrEqual(t, full.RetryAfter, minReturn*3/4)
				require.LessOrEqual(t, full.RetryAfter, max(tt.left/heededShare, minReturn)*5/4)
			}
		})
	}
}

// TestReturnsFollowTheCrowd: the longer requests have been turned away, the
// later callers come back, but never later than they heed.
func TestReturnsFollowTheCrowd(t *testing.T) {
	const left = 9 * time.Second
	tests := map[string]struct {
		crowded, want time.Duration
	}{
		"a moment":    {0, minReturn},
		"two seconds": {2 * time.Second, time.Second},
		"a minute":    {time.Minute, left / heededShare},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := Request{TimeLeft: left, OverloadedFor: tt.crowded}
			require.InDelta(t, tt.want.Seconds(), q.comeBack(time.Millisecond).Seconds(), tt.want.Seconds()/3.99)
		})
	}
}

func TestCrowd(t *testing.T) {
	c := NewOverloadTracker()
	require.Zero(t, c.Duration("s", start))
	c.Rejected("s", start)
	c.Rejected("s", start.Add(crowdGap))
	require.Equal(t, crowdGap+crowdGap/2, c.Duration("s", start.Add(crowdGap+crowdGap/2)))
	require.Zero(t, c.Duration("other", start.Add(crowdGap)))
	over := start.Add(2*crowdGap + 1)
	require.Zero(t, c.Duration("s", over), "nobody was turned away lately")
	c.Rejected("s", over)
	require.Zero(t, c.Duration("s", over), "a new one begins")
}

// TestReturnsAreSpread: callers that are refused together come back over half
// of the time that they were told.
func TestReturnsAreSpread(t *testing.T) {
	first, last := time.Hour, time.Duration(0)
	for i := range uint64(1000) {
		d := spread(time.Second, i)
		first, last = min(first, d), max(last, d)
	}
	require.InDelta(t, 0.75, first.Seconds(), 0.01)
	require.InDelta(t, 1.25, last.Seconds(), 0.01)
}
