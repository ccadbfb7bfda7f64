package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
	"vanillalug.example/platform/platformtest"
)

// TestStoreCallsDuringOutage checks that a router that gets changes from its peers
// tries a store that is out ever more rarely.
func TestStoreCallsDuringOutage(t *testing.T) {
	tr := newTestRouter(t)
	tr.waitReady(0)
	w := &watcher{g: tr.g, revision: vanillalug.NewStoreRevision(0, 1)}
	longest := func() (d time.Duration) {
		for range 100 {
			d = max(d, w.retryBackoff())
		}
		return d
	}
	for w.failures = 1; w.failures < 10; w.failures++ {
		require.LessOrEqual(t, longest(), maxRetryDelay*3/2, "alone, this router follows the store")
	}
	for i := range 60 {
		tr.g.peers.update(name("a", i), peerVersions{following: true})
	}
	require.False(t, tr.g.followsStore())
	require.Greater(t, longest(), maxRetryDelay*3/2)
	require.LessOrEqual(t, longest(), maxIdleRetryDelay*3/2)
}

// TestRevisionFromPeer checks that a router that got the whole registry from a peer
// polls the store for later changes and does not read all of it again.
func TestRevisionFromPeer(t *testing.T) {
	store := platformtest.NewStore()
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	store.SetFault(platformtest.Unavailable)
	tr := newTestRouterAt(t, store, "r1")
	w := tr.g.watchers.registry
	w.advance(vanillalug.NewStoreRevision(0, 7))
	require.Equal(t, vanillalug.NewStoreRevision(0, 7), w.knownRevision())
	w.advance(vanillalug.NewStoreRevision(0, 6))
	require.Equal(t, vanillalug.NewStoreRevision(0, 7), w.knownRevision())
}
