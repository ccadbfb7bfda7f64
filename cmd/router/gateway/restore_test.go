package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
)

// newStoreWithEpoch returns a store that announces its epoch and has the routes.
func newStoreWithEpoch(t *testing.T) *platformtest.Store {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.SetEpoch(1)
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	return store
}

func (tr *testRouter) usable() []string {
	var out []string
	for _, u := range tr.g.upstreams.Load().byService[plainService] {
		out = append(out, u.target.ID())
	}
	return out
}

func (tr *testRouter) waitUsable(ids ...string) {
	tr.t.Helper()
	require.Eventually(tr.t, func() bool {
		got := tr.usable()
		if len(got) != len(ids) {
			return false
		}
		for i := range ids {
			if got[i] != ids[i] {
				return false
			}
		}
		return true
	}, waitTimeout, pollInterval, "%v", ids)
}

// staysUsable checks that the router uses just these targets for a time.
func (tr *testRouter) staysUsable(d time.Duration, ids ...string) {
	tr.t.Helper()
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		require.Equal(tr.t, ids, tr.usable())
		time.Sleep(pollInterval)
	}
}

// TestRestoredStore checks that a restored store undoes nothing at a router that was
// running: no routing table is replaced by an older one, no revoked key is accepted,
// and no target that was leaving or removed is used.
func TestRestoredStore(t *testing.T) {
	const revoked = "key-0"
	store := newStoreWithEpoch(t)
	tr := newTestRouterAt(t, store, "r1")
	targets := tr.addTargets(plainService, "p1", "p2", "p3", "p4")
	store.PutJSON("op", "config", platformtest.RoutingTable(2, []string{testKey, revoked}, routes()...))
	tr.waitUsable("p1", "p2", "p3", "p4")
	require.Eventually(t, func() bool { return tr.tableVersion() == 2 }, waitTimeout, pollInterval)
	backup := store.Backup()
	store.PutJSON("op", "config", platformtest.RoutingTable(3, []string{testKey}, routes()...))
	store.PutJSON("servers", "p1", targets[0].Entry("draining"))
	store.Delete("servers", "p2")
	p5 := tr.addTargets(plainService, "p5")[0]
	tr.waitUsable("p3", "p4", "p5")
	require.Eventually(t, func() bool { return tr.tableVersion() == 3 }, waitTimeout, pollInterval)

	store.Restore(backup)
	require.Eventually(t, func() bool { return tr.g.versions().registry.Epoch() == 2 }, waitTimeout, pollInterval)
	tr.staysUsable(500*time.Millisecond, "p3", "p4")
	require.Equal(t, uint64(3), tr.tableVersion())
	w := tr.send(http.MethodPost, "/once/x", "revoked", strings.NewReader("y"), func(r *http.Request) {
		r.Header.Set("Authorization", "Bearer "+revoked)
	})
	require.Equal(t, http.StatusUnauthorized, w.status)

	store.PutJSON("servers", "p5", p5.Entry("ready"))
	tr.waitUsable("p3", "p4", "p5")
	p2 := targets[1].Entry("ready")
	p2["sequence"] = 2
	store.PutJSON("servers", "p2", p2)
	tr.waitUsable("p2", "p3", "p4", "p5")
	require.Contains(t, tr.logs.String(), `"@message":"the store was restored from an older copy"`)
}

// TestRestoredStoreAssignsRevisionsAgain checks that changes are read although their
// revisions had been assigned to other changes before the restore.
func TestRestoredStoreAssignsRevisionsAgain(t *testing.T) {
	store := newStoreWithEpoch(t)
	tr := newTestRouterAt(t, store, "r1")
	tr.addTargets(plainService, "p1")
	tr.waitUsable("p1")
	backup := store.Backup()
	tr.addTargets(plainService, "p2")
	tr.waitUsable("p1", "p2")
	store.Restore(backup)
	tr.addTargets(plainService, "p3", "p4")
	store.PutJSON("op", "config", platformtest.RoutingTable(5, []string{testKey}, routes()...))
	tr.waitUsable("p1", "p3", "p4")
	require.Eventually(t, func() bool { return tr.tableVersion() == 5 }, waitTimeout, pollInterval)
}

// TestRouterRegistersAfterRestore checks that a router writes its address again when
// a restored store has lost it.
func TestRouterRegistersAfterRestore(t *testing.T) {
	store := newStoreWithEpoch(t)
	backup := store.Backup()
	tr := newTestRouterAt(t, store, "r1")
	tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	require.Eventually(t, func() bool { return len(store.Keys("routers")) == 1 }, waitTimeout, pollInterval)
	time.Sleep(registerDelay + 200*time.Millisecond)
	store.Restore(backup)
	require.Empty(t, store.Keys("routers"))
	require.Eventually(t, func() bool { return len(store.Keys("routers")) == 1 }, 2*waitTimeout, pollInterval)
}

// TestPeerWithoutEpoch checks that datagrams and replies of a router that knows no
// epochs undo nothing after a restore.
func TestPeerWithoutEpoch(t *testing.T) {
	store := newStoreWithEpoch(t)
	tr := newTestRouterAt(t, store, "r1")
	tr.addTargets(plainService, "p1")
	tr.waitUsable("p1")
	before := tr.g.versions()
	address := netip.MustParseAddrPort("127.0.0.1:9")
	tr.g.handleShare(&peer.Share{From: "old", RegistryRevision: 1 << 40, RegistryDigest: 7}, address)
	_, ahead := tr.g.peers.mostAhead(tr.g.versions())
	require.False(t, ahead)
	tr.g.applyReply(&peer.GetBeliefsReply{From: "old", RegistryRevision: 1 << 40}, address, before)
	require.Equal(t, []string{"p1"}, tr.usable())
	require.Equal(t, before.registry, tr.g.versions().registry)
}

// TestPeerInNewerEpoch checks that a router that can't reach the store follows a
// peer into a new epoch, and undoes nothing there.
func TestPeerInNewerEpoch(t *testing.T) {
	store := newStoreWithEpoch(t)
	a := newTestRouterAt(t, store, "a")
	targets := a.addTargets(plainService, "p1", "p2", "p3")
	a.waitUsable("p1", "p2", "p3")
	unavailable := platformtest.NewStore()
	unavailable.SetFault(platformtest.Unavailable)
	b := newTestRouterAt(t, unavailable, "b", netip.MustParseAddrPort(a.g.cfg.PeerAddress))
	b.waitUsable("p1", "p2", "p3")
	backup := store.Backup()
	store.Delete("servers", "p1")
	a.waitUsable("p2", "p3")
	b.waitUsable("p2", "p3")
	store.Restore(backup)
	require.Eventually(t, func() bool { return b.g.versions().registry.Epoch() == 2 }, waitTimeout, pollInterval)
	require.Equal(t, []string{"p2", "p3"}, b.usable())
	store.PutJSON("servers", "p2", targets[1].Entry("draining"))
	b.waitUsable("p3")
}

// TestSyncAcrossEpochs checks that a peer of an older epoch gets every target and
// not changes.
func TestSyncAcrossEpochs(t *testing.T) {
	store := newStoreWithEpoch(t)
	tr := newTestRouterAt(t, store, "r1")
	tr.addTargets(plainService, "p1", "p2")
	tr.waitUsable("p1", "p2")
	before := tr.g.versions()
	store.Restore(store.Backup())
	require.Eventually(t, func() bool { return tr.g.versions().registry.Epoch() == 2 }, waitTimeout, pollInterval)
	store.Delete("servers", "p1")
	time.Sleep(2 * batchDelay)
	reply, err := tr.g.GetBeliefs(context.Background(), &peer.GetBeliefsRequest{
		RegistryRevision: before.registry.Number(), RegistryEpoch: before.registry.Epoch(), RegistryDigest: before.registryDigest,
	})
	require.NoError(t, err)
	require.False(t, reply.Partial)
	require.Equal(t, uint64(2), reply.RegistryEpoch)
}
