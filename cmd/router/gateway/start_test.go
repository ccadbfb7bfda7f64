package gateway

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
)

// TestStartAfterRestore checks that a router that starts with a restored store asks
// its peers before it is ready.
func TestStartAfterRestore(t *testing.T) {
	tests := map[string]struct{ seedKnown bool }{
		"from a seed":              {true},
		"from a registered router": {false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newStoreWithEpoch(t)
			a := newTestRouterAt(t, store, "a")
			targets := a.addTargets(plainService, "p1", "p2", "p3")
			a.waitUsable("p1", "p2", "p3")
			require.Eventually(t, func() bool { return len(store.Keys("routers")) == 1 }, waitTimeout, pollInterval)
			backup := store.Backup()
			store.PutJSON("op", "config", platformtest.RoutingTable(4, []string{testKey}, routes()...))
			store.PutJSON("servers", "p1", targets[0].Entry("draining"))
			store.Delete("servers", "p2")
			a.waitUsable("p3")
			require.Eventually(t, func() bool { return a.tableVersion() == 4 }, waitTimeout, pollInterval)
			store.Restore(backup)

			seed := netip.MustParseAddrPort(freeAddress(t))
			if tt.seedKnown {
				seed = netip.MustParseAddrPort(a.g.cfg.PeerAddress)
			}
			b := newTestRouterAt(t, store, "b", seed)
			require.Eventually(t, b.g.Ready, waitTimeout, time.Millisecond)
			require.Equal(t, uint64(4), b.tableVersion())
			require.Equal(t, []string{"p3"}, b.usable())
		})
	}
}

// TestReplyAtTheStartIsOlder checks that the withdrawn targets of a peer count although
// this router has read the restored registry while the peer replied from before.
func TestReplyAtTheStartIsOlder(t *testing.T) {
	store := newStoreWithEpoch(t)
	store.SetEpoch(2)
	for _, id := range []string{"p1", "p2", "p3"} {
		target, err := platformtest.NewTarget(id, plainService, false)
		require.NoError(t, err)
		t.Cleanup(target.Close)
		store.PutJSON("servers", id, target.Entry("ready"))
	}
	tr := newTestRouterAt(t, store, "r1")
	tr.waitUsable("p1", "p2", "p3")
	asked := versions{}
	tr.g.applyStartReply(&peer.GetBeliefsReply{
		From: "a", RegistryEpoch: 1, RegistryRevision: 900,
		Withdrawn: []*peer.WithdrawnTarget{
			{Id: "p1", Born: 1, Sequence: 2, Epoch: 1, Revision: 890, Final: true},
			{Id: "p2", Born: 1, Sequence: 1, Epoch: 1, Revision: 900, Written: 80},
		},
	}, netip.MustParseAddrPort("127.0.0.1:9"), asked)
	tr.waitUsable("p3")
}

// TestStartAlone checks that a router whose peers don't respond is ready soon, and
// at once if the store was never restored.
func TestStartAlone(t *testing.T) {
	for name, epoch := range map[string]uint64{"epoch": 1, "no epoch": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := newStoreWithEpoch(t)
			store.SetEpoch(epoch)
			tr := newTestRouterAt(t, store, "r1", netip.MustParseAddrPort(freeAddress(t)))
			tr.addTargets(plainService, "p1")
			start := time.Now()
			require.Eventually(t, tr.g.Ready, waitTimeout, time.Millisecond)
			require.Less(t, time.Since(start), consultTimeout+time.Second)
			if epoch == 0 {
				require.NotContains(t, tr.logs.String(), "asked at the start")
			}
		})
	}
}
