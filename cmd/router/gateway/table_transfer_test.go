package gateway

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/rota"
)

func newRouterWithLargeTable(t *testing.T) *testRouter {
	store := platformtest.NewStore()
	publishLarge(store, 1)
	tr := newTestRouterAt(t, store, "r1")
	tr.waitReady(0)
	return tr
}

// TestLargeTableIsCompressedForPeers checks that a large routing table takes little of
// a peer's link, and that a caller of an older build gets it as it did.
func TestLargeTableIsCompressedForPeers(t *testing.T) {
	tr := newRouterWithLargeTable(t)
	raw := tr.g.table.Load().raw
	tests := map[string]struct {
		request    *peer.GetBeliefsRequest
		raw        bool
		compressed bool
	}{
		"reads compressed tables":   {&peer.GetBeliefsRequest{ReadsCompressed: true}, false, true},
		"older build":               {&peer.GetBeliefsRequest{}, false, false},
		"older build that insists":  {&peer.GetBeliefsRequest{Insist: true}, true, false},
		"has the version":           {&peer.GetBeliefsRequest{ReadsCompressed: true, PlanVersion: 1}, false, false},
		"has the version, starting": {&peer.GetBeliefsRequest{ReadsCompressed: true, PlanVersion: 1, Starting: true}, false, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			reply, err := tr.g.GetBeliefs(context.Background(), tt.request)
			require.NoError(t, err)
			require.Equal(t, uint64(1), reply.PlanVersion)
			require.Equal(t, tt.raw, len(reply.Plan) > 0)
			require.Equal(t, tt.compressed, len(reply.CompressedPlan) > 0)
			if !tt.compressed {
				return
			}
			require.Less(t, len(reply.CompressedPlan), len(raw)/4)
			text, err := decompress(reply.CompressedPlan)
			require.NoError(t, err)
			require.Equal(t, raw, text)
		})
	}
}

// TestTablesForPeersAreLimited checks that a router that has sent many routing tables
// leaves further peers to others, but not one that starts.
func TestTablesForPeersAreLimited(t *testing.T) {
	tr := newRouterWithLargeTable(t)
	tr.g.tableSends.AllowN(tr.g.clock.Now(), tableSendBurst)
	reply, err := tr.g.GetBeliefs(context.Background(), &peer.GetBeliefsRequest{ReadsCompressed: true})
	require.NoError(t, err)
	require.Equal(t, uint64(1), reply.PlanVersion, "the caller learns that there is one")
	require.Empty(t, reply.CompressedPlan)
	reply, err = tr.g.GetBeliefs(context.Background(), &peer.GetBeliefsRequest{ReadsCompressed: true, Starting: true})
	require.NoError(t, err)
	require.NotEmpty(t, reply.CompressedPlan)
}

// TestBrokenTableFromPeer checks that a routing table that can't be read changes nothing;
// the store must deliver it all the same.
func TestBrokenTableFromPeer(t *testing.T) {
	tr := newTestRouter(t)
	tr.waitReady(0)
	noTable, err := (&activeTable{raw: []byte("no table")}).compress()
	require.NoError(t, err)
	tests := map[string][]byte{"no gzip": []byte("text"), "cut": {0x1f, 0x8b, 8, 0, 0}, "no table": noTable}
	for name, compressed := range tests {
		t.Run(name, func(t *testing.T) {
			tr.g.applyPeerTable(&peer.GetBeliefsReply{PlanVersion: 9, PlanRevision: 900, CompressedPlan: compressed}, "peer")
			require.Equal(t, uint64(1), tr.tableVersion())
			require.Less(t, tr.g.watchers.table.knownRevision().Number(), uint64(900))
			require.Regexp(t, "cannot (read a peer's|decode the) routing table", tr.logs.String())
		})
	}
}

// TestSilentPeersAreNotAsked guards against asking a peer that is no longer heard of:
// each call to it would take until its timeout.
func TestSilentPeersAreNotAsked(t *testing.T) {
	tr := newTestRouter(t)
	tr.waitReady(0)
	address := netip.MustParseAddrPort("127.0.0.1:9000")
	tr.g.peers.update("a", peerVersions{address: address, table: 7})
	_, found := tr.g.peers.mostAhead(tr.g.versions())
	require.True(t, found)
	tr.g.peers.known["a"].lastSeen = tr.g.clock.Now().Add(-time.Minute)
	_, found = tr.g.peers.mostAhead(tr.g.versions())
	require.False(t, found)
}

// TestKnownTableIsNotDecodedAgain checks that the text of a table that both a peer and
// the store deliver is decoded once, and that the revisions of a restored store don't hide
// another table.
func TestKnownTableIsNotDecodedAgain(t *testing.T) {
	tr := newTestRouter(t)
	tr.waitReady(0)
	known := tr.g.table.Load().revision
	tr.g.applyTable(&activeTable{raw: []byte("not decoded"), revision: known}, "store")
	require.NotContains(t, tr.logs.String(), "cannot decode the routing table")
	restored := vanillalug.NewStoreRevision(known.Epoch()+1, known.Number())
	tr.g.applyTable(&activeTable{raw: []byte("decoded"), revision: restored}, "store")
	require.Contains(t, tr.logs.String(), "cannot decode the routing table")
}

// TestTableSpreadsBetweenRouters checks that a large table reaches routers that the store
// rejects, from one that follows it, within the limit for a new version.
func TestTableSpreadsBetweenRouters(t *testing.T) {
	const routers = 12
	store := platformtest.NewStore()
	defer store.Close()
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	names := []string{"b0"}
	var peers []rota.Peer
	for i := range routers {
		names = append(names, name("b", i+1))
		peers = append(peers, rota.Peer{Name: names[i+1]})
	}
	follower := rota.FirstRouter(names[0], peers)
	first := newTestRouterAt(t, store, follower)
	first.addTargets(plainService, "p1")
	first.waitReady(1)
	seed := netip.MustParseAddrPort(first.g.cfg.PeerAddress)
	unavailable := platformtest.NewStore()
	unavailable.SetFault(platformtest.Unavailable)
	var others []*testRouter
	for _, n := range names {
		if n != follower {
			others = append(others, newTestRouterAt(t, unavailable, n, seed))
		}
	}
	for _, tr := range others {
		tr.waitReady(1)
	}
	publishLarge(store, 2)
	for _, tr := range others {
		require.Eventually(t, func() bool { return tr.tableVersion() == 2 }, applyTimeout, pollInterval)
	}
}
