package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
	"vanillalug.example/platform/platformtest"
)

const (
	// narrowLink is the bandwidth of a router's link in these tests, in bytes per
	// second, and largeRoutes a number of routes whose table takes it over a second.
	narrowLink  = 1_250_000
	largeRoutes = 5000
	// applyTimeout is the platform's limit for using a new routing table.
	applyTimeout = 3 * time.Second
)

func largeTableRoutes(n int) []platformtest.Route {
	out := routes()
	for i := range n {
		out = append(out, platformtest.Route{
			Prefix: name("/extra-", i) + "/", Kind: platformtest.Idempotent, Service: plainService, Attempts: 2, TimeoutMS: 2000,
		})
	}
	return out
}

func publishLarge(store *platformtest.Store, version int) { publishRoutes(store, version, largeRoutes) }

func publishRoutes(store *platformtest.Store, version, n int) {
	store.PutJSON("op", "config", platformtest.RoutingTable(version, []string{testKey}, largeTableRoutes(n)...))
}

// TestLargeTableOverNarrowLink guards against a routing table that takes longer to
// arrive than a fixed timeout allows: the router dropped each response halfway and read
// it from the start again, and used the old table for seconds.
func TestLargeTableOverNarrowLink(t *testing.T) {
	t.Run("at the start", func(t *testing.T) {
		store := platformtest.NewStore()
		publishLarge(store, 1)
		store.SetBandwidth(narrowLink / 2)
		tr := newTestRouterAt(t, store, "r1")
		tr.t.Cleanup(tr.g.clock.Every(narrowProxyInterval, func(time.Time) { tr.g.watchers.table.interrupt() }))
		require.Eventually(t, func() bool { return tr.tableVersion() == 1 }, 2*applyTimeout, pollInterval)
	})
	t.Run("reported by a peer", func(t *testing.T) {
		tr := newTestRouter(t)
		tr.addTargets(plainService, "p1")
		tr.waitReady(1)
		stopFollowing(tr)
		tr.store.SetBandwidth(narrowLink)
		publishLarge(tr.store, 2)
		unreachable := netip.MustParseAddrPort(freeAddress(t))
		tr.g.peers.update("b0", peerVersions{address: unreachable, table: 2, following: true})
		tr.g.requestCatchUp()
		// Further reports must not cancel the response that is arriving.
		tr.t.Cleanup(tr.g.clock.Every(narrowProxyInterval, func(time.Time) { tr.g.watchers.table.interrupt() }))
		require.Eventually(t, func() bool { return tr.tableVersion() == 2 }, applyTimeout, pollInterval)
	})
	t.Run("from a seed", func(t *testing.T) {
		store := platformtest.NewStore()
		defer store.Close()
		publishLarge(store, 1)
		a := newTestRouterAt(t, store, "a")
		a.addTargets(plainService, "p1")
		a.waitReady(1)
		unavailable := platformtest.NewStore()
		unavailable.SetFault(platformtest.Unavailable)
		narrow := narrowProxy(t, a.g.cfg.PeerAddress)
		b := newTestRouterAt(t, unavailable, "b", narrow)
		require.Eventually(t, func() bool { return b.tableVersion() == 1 }, applyTimeout, pollInterval)
	})
}

// stopFollowing gives a router so many peers that follow the store that it doesn't, and
// ends its poll.
func stopFollowing(tr *testRouter) {
	hearFollowers := func(time.Time) {
		for i := range 60 {
			tr.g.peers.update(name("a", i), peerVersions{following: true, table: 1})
		}
	}
	hearFollowers(time.Time{})
	tr.t.Cleanup(tr.g.clock.Every(shareInterval, hearFollowers))
	require.False(tr.t, tr.g.followsStore())
	tr.g.watchers.table.interrupt()
	time.Sleep(2 * roleCheckInterval)
}

// TestPeersAheadAreAskedEvenly guards against all routers that are behind asking the
// same peer, whose link then serves none of them in time.
func TestPeersAheadAreAskedEvenly(t *testing.T) {
	const ahead, draws = 10, 1000
	tr := newTestRouter(t)
	tr.waitReady(0)
	for i := range ahead {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i))
		revision := vanillalug.NewStoreRevision(0, uint64(100+i))
		tr.g.peers.update(name("a", i), peerVersions{address: address, table: 7, registry: revision})
	}
	asked := map[netip.AddrPort]int{}
	for range draws {
		best, found := tr.g.peers.mostAhead(tr.g.versions())
		require.True(t, found)
		asked[best.address]++
	}
	require.Len(t, asked, ahead)
	for _, n := range asked {
		require.Less(t, n, 2*draws/ahead)
	}
}
