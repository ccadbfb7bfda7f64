package gateway

import (
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// TestLateCopy checks that a second copy of a response that arrives after the next
// request was sent on the connection is not delivered to that request.
func TestLateCopy(t *testing.T) {
	for _, b := range []platformtest.Behaviour{platformtest.LateCopy, platformtest.LateCopyWithoutID} {
		t.Run(string(b), func(t *testing.T) {
			t.Parallel()
			tr := newTestRouter(t)
			target := tr.addTargets(plainService, "p1")[0]
			tr.waitReady(1)
			target.SetDefault(b)
			for i := range 12 {
				w := tr.post("/once/x", name("a", i), "y")
				require.Equal(t, 200, w.status)
				require.Equal(t, "done "+name("a", i), w.body)
			}
			require.Less(t, target.TotalConns(), 12, "connections are reused")
		})
	}
}

// TestSlowAndStalledStreams checks that a stream is not cut while its events arrive,
// however slowly, and that one that sends only a byte now and then ends at the route's
// timeout.
func TestSlowAndStalledStreams(t *testing.T) {
	const timeout = 2 * time.Second
	tr := newTestRouter(t)
	target := tr.addTargets(engineService, "e1")[0]
	tr.waitReady(1)
	target.Enqueue(platformtest.SlowStream)
	w := tr.post("/broken/x", "slow", "y")
	require.NoError(t, w.err)
	require.Equal(t, platformtest.Stream(), w.body)

	target.Enqueue(platformtest.DrippingStream)
	start := time.Now()
	w = tr.post("/broken/x", "stalled", "y")
	require.Error(t, w.err, "the end is not taken for a complete stream")
	require.Less(t, time.Since(start), timeout+500*time.Millisecond)
	require.Eventually(t, func() bool { return target.OpenConns() == 0 }, time.Second, pollInterval, "the target is told")
}

// TestSilentTargetFinishesItsWork checks that the request that runs at a target is
// neither started elsewhere nor given up when the target's entry is missing.
func TestSilentTargetFinishesItsWork(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			tr := newTestRouter(t)
			targets := tr.addTargets(plainService, "p1")
			tr.waitReady(1)
			targets[0].Enqueue(platformtest.LateResponse)
			result := make(chan callerResponse, 1)
			go func() { result <- tr.post(path, "id", "y") }()
			require.Eventually(t, func() bool { return len(targets[0].Arrivals()) == 1 }, waitTimeout, pollInterval)
			tr.store.Delete("servers", "p1")
			targets = append(targets, tr.addTargets(plainService, "p2")...)
			w := <-result
			require.Equal(t, 200, w.status)
			require.Equal(t, "done id", w.body)
			require.Equal(t, 1, countExecutions("id", targets))
		})
	}
}

// TestStartWithStaleSeed checks that a router that the store rejects does not use
// what a seed that was cut off still has, when another seed is up to date.
func TestStartWithStaleSeed(t *testing.T) {
	newStore := func(version int) *platformtest.Store {
		store := platformtest.NewStore()
		t.Cleanup(store.Close)
		store.PutJSON("op", "config", platformtest.RoutingTable(version, []string{"key-" + strconv.Itoa(version)}, routes()...))
		return store
	}
	stale := newTestRouterAt(t, newStore(1), "stale")
	stale.addTargets(plainService, "p1", "p2")
	stale.waitReady(2)
	fresh := newTestRouterAt(t, newStore(2), "fresh")
	targets := fresh.addTargets(plainService, "p3", "p4", "p5")
	fresh.store.PutJSON("servers", "p4", targets[1].Entry("draining"))
	fresh.waitReady(2)
	unavailable := platformtest.NewStore()
	unavailable.SetFault(platformtest.Unavailable)
	seeds := []netip.AddrPort{netip.MustParseAddrPort(stale.g.cfg.PeerAddress), netip.MustParseAddrPort(fresh.g.cfg.PeerAddress)}
	start := func(n int) *testRouter {
		tr := newTestRouterAt(t, unavailable, name("r", n), seeds...)
		require.Eventually(t, tr.g.Ready, waitTimeout, time.Millisecond)
		return tr
	}
	tr := start(1)
	// On a busy machine the seed that is up to date may not answer within seedTimeout. Then it isn't up.
	for n := 2; n < 6 && strings.Contains(tr.logs.String(), "cannot get the state of a seed"); n++ {
		tr = start(n)
	}
	require.Equal(t, uint64(2), tr.tableVersion())
	require.Equal(t, []string{"p3", "p5"}, tr.usable())
	require.NotContains(t, tr.logs.String(), `"version":1`)
}
