package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// usesRun reports whether the router sends requests to the run of the target p1 with a start.
func (tr *testRouter) usesRun(startMillis int64) bool {
	_, used := tr.g.upstreams.Load().byIncarnation["p1/"+strconv.FormatInt(startMillis, 10)]
	return used
}

// TestEarlierRunOfTarget guards against a target that leaves, or serves as a later run, getting requests by an entry of
// an earlier run that the store performs late: read as a change, in a listing or through peers. One whose clock was set
// back is used as soon as it says so.
func TestEarlierRunOfTarget(t *testing.T) {
	const later = 5
	tests := map[string]struct {
		change func(target *platformtest.Target)
		start  int64
		used   bool
	}{
		"it leaves":                          {func(x *platformtest.Target) { x.SetLeaving(true) }, 1, false},
		"it serves as the later run":         {func(*platformtest.Target) {}, 1, false},
		"it serves and doesn't say as which": {func(x *platformtest.Target) { x.SetWithoutReport(true) }, 1, false},
		"its clock was set back":             {func(x *platformtest.Target) { x.StartMillis = 2 }, 2, true},
		"its entry states no start":          {func(*platformtest.Target) {}, 0, false},
		"it states no start any more":        {func(x *platformtest.Target) { x.SetWithoutReport(true) }, 0, true},
	}
	for title, tt := range tests {
		for way, listed := range map[string]bool{"in a change": false, "in a listing": true} {
			t.Run(title+", "+way, func(t *testing.T) {
				t.Parallel()
				tr := newTestRouter(t)
				peer := newTestRouterAt(t, tr.store, "r2")
				target := tr.addTargets(plainService, "p1", "p2")[0]
				tr.waitReady(2)
				target.StartMillis = later
				tr.store.PutJSON("servers", "p1", target.Entry("ready"))
				for _, r := range []*testRouter{tr, peer} {
					require.Eventually(t, func() bool { return r.usesRun(later) }, waitTimeout, pollInterval)
				}
				if listed {
					tr.store.SetFault(platformtest.Reset)
				}
				tt.change(target)
				entry := target.Entry("ready")
				entry["born"] = tt.start
				tr.store.PutJSON("servers", "p1", entry)
				if listed {
					tr.store.Compact()
					tr.store.SetFault(platformtest.NoFault)
				}
				for _, r := range []*testRouter{tr, peer} {
					if tt.used {
						require.Eventually(t, func() bool { return r.usesRun(tt.start) }, waitTimeout, pollInterval)
						continue
					}
					require.Eventually(t, func() bool { return !r.usesRun(later) }, waitTimeout, pollInterval)
					before := len(target.Arrivals())
					for until := time.Now().Add(2 * healthInterval); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
						require.False(t, r.usesRun(tt.start))
						require.Equal(t, http.StatusOK, r.post("/safe/x", name("a", int(time.Now().UnixNano())), "work").status)
					}
					require.Len(t, target.Arrivals(), before)
				}
			})
		}
	}
}
