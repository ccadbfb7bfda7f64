package gateway

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/schedule"
)

func newTestPeers(n int) (*peers, *schedule.Fake) {
	clock := schedule.NewFake(time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC))
	p := newPeers(clock)
	found := map[string]netip.AddrPort{}
	for i := range n {
		found[name("r", i)] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
	}
	p.add(found)
	return p, clock
}

// TestShareGroups checks that in a fleet of any size a router sends a bounded
// number of datagrams in an interval and reaches every peer within a cycle, and
// that a peer's loads stay valid for two cycles.
func TestShareGroups(t *testing.T) {
	for _, n := range []int{1, 17, 112, 299, 409} {
		p, clock := newTestPeers(n)
		reached := map[netip.AddrPort]bool{}
		for range p.groups() {
			group := p.nextGroup(false)
			require.LessOrEqual(t, len(group), 2*peersPerInterval)
			for _, a := range group {
				reached[a] = true
			}
		}
		require.Len(t, reached, n)
		require.Len(t, p.nextGroup(true), n, "changes go to all at once")
		cycle := shareInterval * time.Duration(p.groups())
		require.GreaterOrEqual(t, clock.Now().Sub(p.aliveSince()), 2*cycle)
	}
}

// TestPlacementsAreBounded checks that a datagram has no more placements than the
// limit, and that the newest take precedence.
func TestPlacementsAreBounded(t *testing.T) {
	p, clock := newTestPeers(409)
	for i := range 2 * maxPlacementsPerShare {
		p.queuePlacement(fitting.Placement{Prompt: uint64(i)}, clock.Now())
	}
	got := p.recentPlacements(clock.Now())
	require.Len(t, got, maxPlacementsPerShare)
	require.Equal(t, uint64(2*maxPlacementsPerShare-1), got[maxPlacementsPerShare-1].Prompt)
	clock.Advance(time.Minute)
	require.Empty(t, p.recentPlacements(clock.Now()))
}

// TestPeersReportFailures checks that a target that fails for several peers gets
// no requests, even if it has not failed for this router, and that all targets of
// a service are used if peers report failures at most of them.
func TestPeersReportFailures(t *testing.T) {
	const requests, peers = 12, 3
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1", "p2")
	tr.waitReady(2)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	report := func(keys ...uint64) {
		for i := range peers {
			tr.g.handleShare(&peer.Share{From: name("peer", i), Failing: keys}, from)
		}
	}
	key := func(id string) uint64 { return uint64(fitting.KeyOf(id + "/1")) }
	report(key("p1"))
	for i := range requests {
		require.Equal(t, 200, tr.post("/once/x", name("a", i), "y").status)
	}
	require.Empty(t, targets[0].Executions())
	require.Eventually(t, func() bool {
		return strings.Contains(tr.logs.String(), `"@message":"target fails for many routers"`)
	}, waitTimeout, pollInterval)
	report(key("p1"), key("p2"))
	for i := range 4 * requests {
		require.Equal(t, 200, tr.post("/once/x", name("b", i), "y").status)
	}
	require.NotEmpty(t, targets[0].Executions())
}

// TestLargeTableIsReadFromStore checks that a peer sends a large routing table only
// when it is asked to, as the links between routers are narrow.
func TestLargeTableIsReadFromStore(t *testing.T) {
	const many = 400
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	table := routes()
	for i := range many {
		table = append(table, platformtest.Route{Prefix: "/" + name("more", i) + "/", Kind: platformtest.Idempotent, Service: plainService, Attempts: 1, TimeoutMS: 2000})
	}
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, table...))
	a, b := newTestRouterAt(t, store, "a"), newTestRouterAt(t, store, "b")
	for _, tr := range []*testRouter{a, b} {
		require.Eventually(t, func() bool { return tr.tableVersion() == 1 }, waitTimeout, pollInterval)
	}
	for insist, sent := range map[bool]bool{false: false, true: true} {
		reply, err := a.g.GetBeliefs(t.Context(), &peer.GetBeliefsRequest{Insist: insist})
		require.NoError(t, err)
		require.Equal(t, uint64(1), reply.PlanVersion)
		require.Equal(t, sent, len(reply.Plan) > 0)
	}
	store.PutJSON("op", "config", platformtest.RoutingTable(2, []string{testKey}, table...))
	for _, tr := range []*testRouter{a, b} {
		require.Eventually(t, func() bool { return tr.tableVersion() == 2 }, waitTimeout, pollInterval)
		require.NotContains(t, tr.logs.String(), `"source":"peer`)
	}
}
