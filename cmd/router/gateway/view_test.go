package gateway

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
)

func (tr *testRouter) tableVersion() uint64 {
	if active := tr.g.table.Load(); active != nil {
		return active.table.Version()
	}
	return 0
}

func (tr *testRouter) publish(version int) {
	tr.store.PutJSON("op", "config", platformtest.RoutingTable(version, []string{testKey}, routes()...))
}

func TestVersionsNeverRegress(t *testing.T) {
	tr := newTestRouter(t)
	tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	tr.publish(5)
	require.Eventually(t, func() bool { return tr.tableVersion() == 5 }, waitTimeout, pollInterval)
	tr.publish(3)
	time.Sleep(3 * batchDelay)
	require.Equal(t, uint64(5), tr.tableVersion())
	tr.publish(6)
	require.Eventually(t, func() bool { return tr.tableVersion() == 6 }, waitTimeout, pollInterval)
	tr.store.Put("op", "config", []byte("not a table"))
	tr.publish(7)
	require.Eventually(t, func() bool { return tr.tableVersion() == 7 }, waitTimeout, pollInterval)
}

// TestStoreFaults guards against a store outage going undetected: after each kind
// of fault the router must be up to date soon, two seconds being the limit of the
// platform's rules.
func TestStoreFaults(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.Unavailable, platformtest.Reset, platformtest.Unresponsive} {
		t.Run(string(fault), func(t *testing.T) {
			t.Parallel()
			tr := newTestRouter(t)
			targets := tr.addTargets(plainService, "p1")
			tr.waitReady(1)
			tr.store.SetFault(fault)
			time.Sleep(4 * time.Second)
			require.Equal(t, 200, tr.post("/once/x", "id", "y").status, "requests are served during a store outage")
			tr.store.SetFault(platformtest.NoFault)
			time.Sleep(time.Second)
			tr.publish(2)
			tr.store.PutJSON("servers", "p1", targets[0].Entry("draining"))
			require.Eventually(t, func() bool {
				return tr.tableVersion() == 2 && len(tr.g.upstreams.Load().byIncarnation) == 0
			}, 4*time.Second, pollInterval)
		})
	}
}

func TestHistoryCompacted(t *testing.T) {
	tr := newTestRouter(t)
	tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	tr.store.SetFault(platformtest.Unavailable)
	tr.publish(2)
	tr.addTargets(plainService, "p2")
	tr.store.Compact()
	tr.store.SetFault(platformtest.NoFault)
	tr.waitReady(2)
	require.Eventually(t, func() bool { return tr.tableVersion() == 2 }, waitTimeout, pollInterval)
}

// TestLongRegistry checks that a registry with so many pages that reading it
// takes longer than the timeout of one call is read page by page, without
// starting over.
func TestLongRegistry(t *testing.T) {
	const targets, page, delay = 30, 5, 350 * time.Millisecond
	store := platformtest.NewStore()
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	for i := range targets {
		id := name("p", i)
		store.PutJSON("servers", id, map[string]any{
			"service": plainService, "address": "127.0.0.1:1", "zone": "a", "slots": 6, "state": "ready", "sequence": 1, "born": 1,
		})
	}
	store.SetPages(platformtest.Pages{Rows: page, Delay: delay})
	tr := newTestRouterAt(t, store, "r1")
	tr.waitReady(targets)
}

func TestInvalidRegistryEntries(t *testing.T) {
	tr := newTestRouter(t)
	tr.addTargets(plainService, "p1")
	entries := map[string]any{
		"no address":     map[string]any{"service": plainService, "zone": "a", "slots": 6, "state": "ready", "sequence": 1},
		"wrong type":     map[string]any{"service": plainService, "address": "127.0.0.1:1", "zone": "a", "slots": "6", "state": "ready", "sequence": 1},
		"unknown state":  map[string]any{"service": plainService, "address": "127.0.0.1:1", "zone": "a", "slots": 6, "state": "gone", "sequence": 1},
		"born is broken": map[string]any{"service": plainService, "address": "127.0.0.1:1", "zone": "a", "slots": 6, "state": "ready", "sequence": 1, "born": 1.5},
		"no object":      []int{1},
	}
	for key, value := range entries {
		tr.store.PutJSON("servers", key, value)
	}
	tr.store.Put("servers", "no json", []byte{0xff})
	tr.addTargets(plainService, "p2")
	tr.waitReady(2)
}

// TestPeerSync checks that a router that the store rejects bootstraps from a seed,
// and then gets new versions and draining targets from its peer.
func TestPeerSync(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	a := newTestRouterAt(t, store, "a")
	targets := a.addTargets(plainService, "p1", "p2")
	a.waitReady(2)

	unavailable := platformtest.NewStore()
	unavailable.SetFault(platformtest.Unavailable)
	seed := netip.MustParseAddrPort(a.g.cfg.PeerAddress)
	b := newTestRouterAt(t, unavailable, "b", seed)
	b.waitReady(2)
	require.Equal(t, uint64(1), b.tableVersion())
	require.True(t, b.g.Ready())

	a.publish(9)
	store.PutJSON("servers", "p1", targets[0].Entry("draining"))
	require.Eventually(t, func() bool {
		return b.tableVersion() == 9 && len(b.g.upstreams.Load().byIncarnation) == 1
	}, 2*time.Second, pollInterval, "the time limit for a draining target")
}

// TestWarmUpFromPeer checks that a started router gets from a peer which engines
// have which prompts cached.
func TestWarmUpFromPeer(t *testing.T) {
	store := platformtest.NewStore()
	defer store.Close()
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	a := newTestRouterAt(t, store, "a")
	a.addTargets(promptService, "e1")
	a.waitReady(1)
	engine := fitting.KeyOf("e1/1")
	a.g.cacheIndex.Record(fitting.Placement{Prompt: 7, Target: engine}, time.Now())
	a.g.warmedUp.Store(true)
	b := newTestRouterAt(t, store, "b", netip.MustParseAddrPort(a.g.cfg.PeerAddress))
	require.Eventually(t, func() bool {
		return b.g.cacheIndex.Cached(7, []fitting.Key{engine}, time.Now())[0]
	}, waitTimeout, pollInterval)
	require.Eventually(t, func() bool {
		return strings.Contains(b.logs.String(), `"@message":"placements recalled"`)
	}, waitTimeout, pollInterval, "it is logged after the placements are recorded")
}

// TestWarmUpFromEngines checks that after a restart of all routers a seed queries
// the engines for their cached prompts and sends them to the others.
func TestWarmUpFromEngines(t *testing.T) {
	const part = 0xa1
	store := platformtest.NewStore()
	defer store.Close()
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	a := newTestRouterAt(t, store, "a")
	seed := netip.MustParseAddrPort(a.g.cfg.PeerAddress)
	a.g.SetSeeds([]netip.AddrPort{seed})
	b := newTestRouterAt(t, store, "b", seed)
	engine := a.addTargets(promptService, "e1")[0]
	engine.AddCachedPart("m", part, 1000)
	engine.AddCachedPart("m", 0xa2, minCachedTokens-1)
	for _, tr := range []*testRouter{a, b} {
		require.Eventually(t, func() bool {
			return tr.g.cacheIndex.Cached(fitting.PromptKey("m", part), []fitting.Key{fitting.KeyOf("e1/1")}, time.Now())[0]
		}, waitTimeout, pollInterval)
	}
	require.Len(t, b.g.cacheIndex.Newest(maxWarmUpPlacements, time.Now()), 1, "short parts are not indexed")
	require.Equal(t, 1, engine.CacheListCalls(), "only the seed queries the engine")
}

// TestPeerSyncSendsChanges checks that a peer that is a little behind gets only
// the changes, and one with an unknown digest gets every target.
func TestPeerSyncSendsChanges(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1", "p2", "p3")
	tr.waitReady(3)
	before := tr.g.versions()
	tr.store.PutJSON("servers", "p1", targets[0].Entry("draining"))
	tr.store.Delete("servers", "p2")
	tr.waitReady(1)
	getBeliefs := func(digest uint64) *peer.GetBeliefsReply {
		reply, err := tr.g.GetBeliefs(context.Background(), &peer.GetBeliefsRequest{
			PlanVersion: 1, RegistryRevision: before.registry.Number(), RegistryDigest: digest,
		})
		require.NoError(t, err)
		return reply
	}
	reply := getBeliefs(before.registryDigest)
	require.True(t, reply.Partial)
	require.Len(t, reply.Changes, 2)
	require.Empty(t, reply.Targets)
	reply = getBeliefs(before.registryDigest + 1)
	require.False(t, reply.Partial)
	require.Len(t, reply.Targets, 2, "the draining target is still listed")
}

// TestViewChangesAreLogged checks that each change of the routing table and of the
// view of the registry is logged.
func TestViewChangesAreLogged(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	tr.store.PutJSON("servers", "p1", targets[0].Entry("draining"))
	require.Eventually(t, func() bool { return len(tr.g.upstreams.Load().byIncarnation) == 0 }, waitTimeout, pollInterval)
	for _, want := range []string{
		`"@message":"routing table in force"`,
		`"@message":"target joined"`,
		`"@message":"target left"`,
		`"reason":"leaving"`,
	} {
		require.Contains(t, tr.logs.String(), want)
	}
	w := tr.post("/once/x", "lost", "y")
	require.Equal(t, 503, w.status)
	require.Contains(t, tr.logs.String(), fmt.Sprintf(`"request":%q`, "lost"))
	require.Contains(t, tr.logs.String(), `"outcome":"no target"`)
}
