package allowance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

// TestWindowBoundsEverySpan: in any span of the length the repeats of a service
// stay under its share of the requests of that span and the span before, and
// this router's part of the extra.
func TestWindowBoundsEverySpan(t *testing.T) {
	const length, ratio, extra, routers = 10 * time.Second, 0.2, 40, 4
	lugtest.Check(t, "200", "200", func(t *rapid.T) {
		w := NewWindowBudget(length, ratio, extra)
		now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		var requests, repeats []time.Time
		in := func(times []time.Time, from, to time.Time) int {
			n := 0
			for _, at := range times {
				if at.After(from) && !at.After(to) {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"requests": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "n") {
					w.RecordRequest("s", now)
					requests = append(requests, now)
				}
			},
			"repeats": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "n") {
					if w.Allow("s", routers, now) {
						repeats = append(repeats, now)
					}
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				from := now.Add(-length)
				bound := ratio*float64(in(requests, from.Add(-length), now)) + extra/routers*2
				require.LessOrEqual(t, float64(in(repeats, from, now)), bound)
			},
		})
	})
}

func TestWindowForgets(t *testing.T) {
	w := NewWindowBudget(10*time.Second, 0, 2)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	require.True(t, w.Allow("s", 1, now))
	require.True(t, w.Allow("s", 1, now))
	require.False(t, w.Allow("s", 1, now.Add(9*time.Second)))
	require.True(t, w.Allow("s", 1, now.Add(10*time.Second)))
	require.True(t, w.Allow("other", 1, now), "each service has its own")
	require.True(t, w.Allow("s", 1, now.Add(time.Hour)))
}
