package gateway

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// TestTableSizes guards against a routing table that is never in force as it is larger than a limit
// on the store's responses or on what peers send.
func TestTableSizes(t *testing.T) {
	for _, n := range []int{4200, 10_000, 40_000} {
		t.Run(name("routes-", n), func(t *testing.T) {
			tr := newTestRouter(t)
			tr.addTargets(plainService, "p1")
			tr.waitReady(1)
			publishRoutes(tr.store, 2, n)
			require.Eventually(t, func() bool { return tr.tableVersion() == 2 }, applyTimeout, pollInterval)
			behind := newTestRouterAt(t, platformtest.NewStore(), "behind", netip.MustParseAddrPort(tr.g.cfg.PeerAddress))
			require.Eventually(t, func() bool { return behind.tableVersion() == 2 }, applyTimeout, pollInterval)
		})
	}
}
