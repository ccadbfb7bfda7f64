package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
	"vanillalug.example/crew"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/quota"
)

// TestTargetWantsNoRequests checks that after a rejection with a Retry-After a router
// sends the target nothing until then, that callers get a true rejection at once while
// all targets want none, and that the target is used again afterwards.
func TestTargetWantsNoRequests(t *testing.T) {
	const pause = 900 * time.Millisecond
	for name, b := range map[string]platformtest.Behaviour{"not run": platformtest.Shed, "run and failed": platformtest.FailBusy} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := newTestRouter(t)
			targets := tr.addTargets(plainService, "p1", "p2")
			tr.waitReady(2)
			for _, target := range targets {
				target.SetRetryAfter(strconv.FormatFloat(pause.Seconds(), 'f', 2, 64))
				target.SetDefault(b)
			}
			for i := range 4 {
				tr.post("/once/x", "first"+strconv.Itoa(i), "work")
			}
			arrived := len(targets[0].Arrivals()) + len(targets[1].Arrivals())
			require.Equal(t, 2, arrived, "each target rejected one")
			for i := range 20 {
				start := time.Now()
				w := tr.post("/once/x", "a"+strconv.Itoa(i), "work")
				require.Equal(t, http.StatusServiceUnavailable, w.status)
				require.Less(t, time.Since(start), pause/4, "rejected at once")
				after, err := strconv.ParseFloat(w.header.Get("Retry-After"), 64)
				require.NoError(t, err)
				require.LessOrEqual(t, after, pause.Seconds()*5/4+0.01)
				require.Greater(t, after, 0.0)
			}
			require.Equal(t, arrived, len(targets[0].Arrivals())+len(targets[1].Arrivals()))
			for _, target := range targets {
				target.SetDefault(platformtest.Serve)
			}
			time.Sleep(pause)
			require.Equal(t, 200, tr.post("/once/x", "again", "work").status)
			require.Equal(t, 1, strings.Count(tr.logs.String(), `"@message":"target wants no requests"`)/len(targets))
		})
	}
}

// TestOneTargetWantsNoRequests checks that requests go to the other targets while one
// wants none, and that a Retry-After that can't be read changes nothing and is logged.
func TestOneTargetWantsNoRequests(t *testing.T) {
	tests := map[string]struct {
		value  string
		paused bool
	}{
		"fraction": {"1.5", true},
		"absurd":   {"1" + strings.Repeat("0", 30), true},
		"invalid":  {"soon", false},
		"negative": {"-3", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := newTestRouter(t)
			targets := tr.addTargets(plainService, "p1", "p2")
			tr.waitReady(2)
			targets[0].SetRetryAfter(tt.value)
			targets[0].SetDefault(platformtest.Shed)
			for i := range 20 {
				require.Equal(t, 200, tr.post("/once/x", "a"+strconv.Itoa(i), "work").status)
			}
			if tt.paused {
				require.Len(t, targets[0].Arrivals(), 1)
				return
			}
			require.Greater(t, len(targets[0].Arrivals()), 1)
			require.Contains(t, tr.logs.String(), `"@message":"ignored the pause that a target asked for"`)
		})
	}
}

// TestTargetNamesLimitInLogs checks that a limit that a target names is logged when it
// is first named and when it is no more, so that its effect on requests can be told.
func TestTargetNamesLimitInLogs(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	targets[0].SetRateLimit("1000")
	for i := range 3 {
		require.Equal(t, 200, tr.post("/once/x", name("a", i), "work").status)
	}
	targets[0].SetRateLimit("wrong")
	require.Equal(t, 200, tr.post("/once/x", "b", "work").status)
	targets[0].SetRateLimit("")
	require.Equal(t, 200, tr.post("/once/x", "c", "work").status)
	logs := tr.logs.String()
	require.Equal(t, 1, strings.Count(logs, `"@message":"target names a limit"`))
	require.Equal(t, 1, strings.Count(logs, `"@message":"ignored the limit that a target named"`))
	require.Equal(t, 1, strings.Count(logs, `"@message":"target names no limit any more"`))
	require.Contains(t, logs, "limit=1000.00")
}

// TestPauseOutlastsAnOutageOfTheStore checks that a target that wants no requests gets none although
// its registry entry was missing for a moment meanwhile, as after an outage of the store.
func TestPauseOutlastsAnOutageOfTheStore(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1", "p2")
	tr.waitReady(2)
	targets[0].SetRetryAfter("3")
	targets[0].SetDefault(platformtest.Shed)
	require.Eventually(t, func() bool {
		tr.post("/once/x", "a", "work")
		return len(targets[0].Arrivals()) == 1
	}, waitTimeout, pollInterval)
	tr.lapseAndReturn("p1")
	for i := range 20 {
		tr.post("/once/x", "b"+strconv.Itoa(i), "work")
	}
	require.Len(t, targets[0].Arrivals(), 1)
}

// TestLimitOutlastsAnOutageOfTheStore is the same for the limit that a target named.
func TestLimitOutlastsAnOutageOfTheStore(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1", "p2")
	tr.waitReady(2)
	targets[0].SetRateLimit("0.1")
	require.Eventually(t, func() bool {
		tr.post("/once/x", "a", "work")
		return len(targets[0].Arrivals()) == 1
	}, waitTimeout, pollInterval)
	tr.lapseAndReturn("p1")
	u := tr.g.upstreams.Load().byIncarnation["p1/1"]
	require.InDelta(t, 0.1, tr.g.limits.Limit(u.limitKey()).Rate(), 0.001)
	for i := range 20 {
		tr.post("/once/x", "b"+strconv.Itoa(i), "work")
	}
	require.LessOrEqual(t, len(targets[0].Arrivals()), 2, "0.1 requests a second and one more")
}

// TestRestartedTargetHasNoPause checks that what an incarnation asked for is not held
// against the next one.
func TestRestartedTargetHasNoPause(t *testing.T) {
	tr := newTestRouter(t)
	target := tr.addTargets(plainService, "p1")[0]
	tr.waitReady(1)
	target.SetRetryAfter("60")
	target.Enqueue(platformtest.Shed)
	require.Equal(t, http.StatusServiceUnavailable, tr.post("/once/x", "a", "work").status)
	target.SetRetryAfter("")
	target.StartMillis++
	tr.store.PutJSON("servers", "p1", target.Entry("ready"))
	require.Eventually(t, func() bool {
		return tr.post("/once/x", "b", "work").status == 200
	}, waitTimeout, pollInterval)
}

// TestTargetStatesExpire checks that states are kept for targetStateRetention after a target
// was last usable, and that the one that comes back within that time is the same.
func TestTargetStatesExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	states := newTargetStates()
	a, b := states.get("a/1", now), states.get("b/1", now)
	usable := map[string]*upstream{"b/1": {}}
	require.Len(t, states.expire(usable, now.Add(targetStateRetention)), 2)
	require.Same(t, a, states.get("a/1", now.Add(time.Second)))
	kept := states.expire(usable, now.Add(2*targetStateRetention))
	require.Equal(t, map[quota.TargetKey]bool{b.limitKey(): true}, kept)
	require.NotSame(t, a, states.get("a/1", now))
}

// lapseAndReturn makes the entry of a target lapse while the store is away, and come back.
func (tr *testRouter) lapseAndReturn(id string) {
	u := tr.g.upstreams.Load().byIncarnation[id+"/1"]
	usable := len(tr.g.upstreams.Load().byIncarnation)
	now, revision := tr.g.clock.Now(), tr.g.view.Revision()
	next := func(n uint64) vanillalug.StoreRevision {
		return vanillalug.NewStoreRevision(revision.Epoch(), revision.Number()+n)
	}
	tr.g.updateView(crew.RegistryLost{At: now})
	tr.g.updateView(crew.Removed{At: now, ID: id, Revision: next(1)})
	tr.waitReady(usable - 1)
	tr.g.maintain(now)
	tr.g.updateView(crew.Changed{At: now, Target: u.target, Revision: next(2)})
	tr.waitReady(usable)
}
