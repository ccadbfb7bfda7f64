package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// TestShortSilenceOfStore guards against a poll of the operator's table that begins while the store is
// silent and is never answered: the router heard of no new routing table for as long as the poll waits.
func TestShortSilenceOfStore(t *testing.T) {
	tr := newTestRouter(t)
	tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	for version := 2; version < 6; version += 2 {
		tr.publish(version)
		require.Eventually(t, func() bool { return tr.tableVersion() == uint64(version) }, applyTimeout, pollInterval)
		tr.store.SetFault(platformtest.Unresponsive)
		time.Sleep(2 * batchDelay)
		tr.store.SetFault(platformtest.NoFault)
		tr.publish(version + 1)
		require.Eventually(t, func() bool { return tr.tableVersion() == uint64(version+1) }, applyTimeout, pollInterval)
	}
}
