package allowance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

// TestRetriesStayWithinWindowBudget checks that in any window the retries of a
// service stay below the ratio of its requests in that window and the one before,
// plus twice this router's part of the extra.
func TestRetriesStayWithinWindowBudget(t *testing.T) {
	const length, ratio, extra, routers = 10 * time.Second, 0.2, 40, 4
	lugtest.Check(t, "200", "200", func(t *rapid.T) {
		b := NewWindowBudget(length, ratio, extra)
		now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
		var requests, retries []time.Time
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
					b.RecordRequest("s", now)
					requests = append(requests, now)
				}
			},
			"repeats": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "n") {
					if b.Allow("s", routers, now) {
						retries = append(retries, now)
					}
				}
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				from := now.Add(-length)
				bound := ratio*float64(in(requests, from.Add(-length), now)) + extra/routers*2
				require.LessOrEqual(t, float64(in(retries, from, now)), bound)
			},
		})
	})
}

func TestRetriesExpireFromWindow(t *testing.T) {
	b := NewWindowBudget(10*time.Second, 0, 2)
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	require.True(t, b.Allow("s", 1, now))
	require.True(t, b.Allow("s", 1, now))
	require.False(t, b.Allow("s", 1, now.Add(9*time.Second)))
	require.True(t, b.Allow("s", 1, now.Add(10*time.Second)))
	require.True(t, b.Allow("other", 1, now), "each service has its own budget")
	require.True(t, b.Allow("s", 1, now.Add(time.Hour)))
}
