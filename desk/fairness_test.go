package desk

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// served returns the admitted requests per workspace while all workspaces have
// queued requests. The first letter of a request's id is its workspace.
func served(c *Controller, finish, n int) map[string]int {
	out := map[string]int{}
	running := []string{"first"}
	for range n {
		for range finish {
			id := running[0]
			running = running[1:]
			for _, e := range c.Handle(Finished{ID: id}) {
				if a, ok := e.(Admit); ok {
					running = append(running, a.ID)
					out[a.ID[:1]]++
				}
			}
		}
	}
	return out
}

func TestWorkspaceSharesAreWeighted(t *testing.T) {
	c, _ := newController(1)
	arrive(c, "first", "x")
	for i := range 300 {
		class := WithClass("c", 1, 1000, time.Hour)
		arrive(c, fmt.Sprintf("a%d", i), "a", class, WithShare(3))
		arrive(c, fmt.Sprintf("b%d", i), "b", class, WithShare(1))
	}
	got := served(c, 1, 200)
	require.InDelta(t, 150, got["a"], 2)
	require.InDelta(t, 50, got["b"], 2)
}

func TestInteractiveIsPreferredWithoutStarvingBatch(t *testing.T) {
	c, _ := newController(1)
	arrive(c, "first", "x")
	for i := range 300 {
		arrive(c, fmt.Sprintf("i%d", i), "a", WithClass("interactive", 8, 1000, time.Hour))
		arrive(c, fmt.Sprintf("b%d", i), "b", WithClass("batch", 1, 1000, time.Hour))
	}
	got := served(c, 1, 180)
	require.InDelta(t, 160, got["i"], 2)
	require.InDelta(t, 20, got["b"], 2)
}

// waits simulates an engine for 10 minutes and returns the queue waits of the
// quiet workspaces. One more workspace sends requests at surge times their rate.
func waits(seed uint64, surge float64) []time.Duration {
	const (
		slots   = 32
		quiet   = 9
		rate    = 1.6 // requests a second of each workspace
		length  = 10 * time.Minute
		service = 1500 * time.Millisecond
		step    = 5 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(seed, 7))
	c, clock := newController(slots)
	ends := map[string]time.Time{}
	var out []time.Duration
	take := func(effects []Effect) {
		for _, e := range effects {
			if a, ok := e.(Admit); ok {
				ends[a.ID] = clock.Now().Add(time.Duration((0.5 + random.Float64()) * float64(service)))
				if a.ID[0] == 'q' {
					out = append(out, a.Waited)
				}
			}
		}
	}
	serial := 0
	send := func(kind, workspace string, perSecond float64) {
		if random.Float64() < perSecond*step.Seconds() {
			serial++
			r := NewRequest(fmt.Sprintf("%s%d", kind, serial), workspace, WithClass("c", 1, 500, 20*time.Second))
			take(c.Handle(Arrived{Request: r, Pool: NewPool(1, 1000, 10, 1000)}))
		}
	}
	for now := time.Duration(0); now < length; now += step {
		clock.Advance(step)
		for _, id := range slices.Sorted(maps.Keys(ends)) {
			if !ends[id].After(clock.Now()) {
				delete(ends, id)
				take(c.Handle(Finished{ID: id}))
			}
		}
		take(c.Handle(Tick{}))
		for i := range quiet {
			send("q", fmt.Sprintf("quiet-%d", i), rate)
		}
		send("s", "surging", rate*surge)
	}
	return out
}

func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))]
}

// TestSurgeDoesNotDelayOtherWorkspaces checks that a tenfold surge of one
// workspace leaves the 99th-percentile queue wait of the others within 20% of the
// run without a surge, or below 50 ms, which callers don't notice.
func TestSurgeDoesNotDelayOtherWorkspaces(t *testing.T) {
	const unnoticed = 50 * time.Millisecond
	for seed := range uint64(3) {
		calm := quantile(waits(seed, 1), 0.99)
		surged := quantile(waits(seed, 10), 0.99)
		t.Logf("seed %d: 99th percentile of queue waits: calm %s, surged %s", seed, calm, surged)
		require.LessOrEqual(t, surged, max(calm*12/10, unnoticed), "seed %d", seed)
	}
}
