package fitting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/crew"
)

// TestRejectOverload checks that a request that can't start in time is rejected
// with a retry-after time, and that a more urgent one may wait longer.
func TestRejectOverload(t *testing.T) {
	const serviceTime = 100 * time.Millisecond
	worker := func(requests int) Candidate {
		return Candidate{Target: crew.NewTarget("a", "s", "10.0.0.1:1", crew.WithSlots(10)), Load: NewLoad(requests, 0)}
	}
	tests := map[string]struct {
		requests, priority           int
		serviceTime, left, objective time.Duration
		overloaded                   bool
	}{
		"free slots":                               {9, 2, serviceTime, time.Second, 0, false},
		"short wait":                               {13, 2, serviceTime, time.Second, 0, false},
		"would start after the deadline":           {25, 0, serviceTime, 100 * time.Millisecond, 0, true},
		"urgent request may wait":                  {25, 0, serviceTime, 200 * time.Millisecond, 0, false},
		"less urgent request may not":              {25, 1, serviceTime, 200 * time.Millisecond, 0, true},
		"would start within half of the objective": {25, 0, serviceTime, time.Second, 400 * time.Millisecond, false},
		"would start after half of the objective":  {25, 0, serviceTime, time.Second, 200 * time.Millisecond, true},
		"service time unknown":                     {25, 2, 0, time.Millisecond, 0, false},
		"more than a target's queue":               {55, 0, time.Microsecond, time.Second, 0, true},
		"no time left but a free slot":             {9, 0, serviceTime, 0, 0, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := Request{ServiceTime: tt.serviceTime, TimeLeft: tt.left, Objective: tt.objective, Priority: tt.priority, Random: 5}
			v := Choose(q, []Candidate{worker(tt.requests), worker(tt.requests + 1)})
			overloaded, ok := v.(Overloaded)
			require.Equal(t, tt.overloaded, ok, "%T", v)
			if ok {
				require.GreaterOrEqual(t, overloaded.RetryAfter, minRetryAfter*3/4)
				require.LessOrEqual(t, overloaded.RetryAfter, max(tt.left/maxRetryAfterDivisor, minRetryAfter)*5/4)
			}
		})
	}
}

// TestRetryAfterGrowsWithOverload checks that the retry-after time grows with
// the duration of the overload, up to the longest that callers honor.
func TestRetryAfterGrowsWithOverload(t *testing.T) {
	const left = 9 * time.Second
	tests := map[string]struct {
		overloadedFor, want time.Duration
	}{
		"just started":    {0, minRetryAfter},
		"for two seconds": {2 * time.Second, time.Second},
		"for a minute":    {time.Minute, left / maxRetryAfterDivisor},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := Request{TimeLeft: left, OverloadedFor: tt.overloadedFor}
			require.InDelta(t, tt.want.Seconds(), q.retryAfter(time.Millisecond).Seconds(), tt.want.Seconds()/3.99)
		})
	}
}

func TestOverloadTracker(t *testing.T) {
	tracker := NewOverloadTracker()
	require.Zero(t, tracker.Duration("s", start))
	tracker.Rejected("s", start)
	tracker.Rejected("s", start.Add(overloadGap))
	require.Equal(t, overloadGap+overloadGap/2, tracker.Duration("s", start.Add(overloadGap+overloadGap/2)))
	require.Zero(t, tracker.Duration("other", start.Add(overloadGap)))
	over := start.Add(2*overloadGap + 1)
	require.Zero(t, tracker.Duration("s", over), "no recent rejection")
	tracker.Rejected("s", over)
	require.Zero(t, tracker.Duration("s", over), "a new overload starts")
}

// TestRetryAfterJitter checks that the retries of callers that were rejected
// together are spread over half of the retry-after time.
func TestRetryAfterJitter(t *testing.T) {
	first, last := time.Hour, time.Duration(0)
	for i := range uint64(1000) {
		d := jitter(time.Second, i)
		first, last = min(first, d), max(last, d)
	}
	require.InDelta(t, 0.75, first.Seconds(), 0.01)
	require.InDelta(t, 1.25, last.Seconds(), 0.01)
}
