package crew

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
)

// TestUnused guards against targets that take no work without a reason that operators can see, and
// against a wrong one.
func TestUnused(t *testing.T) {
	v := NewView()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	v.Handle(Snapshot{At: start, Revision: rev(10), Targets: []Target{
		reported("a", 1, Ready, 5), reported("b", 1, Draining, 5), reported("c", 1, Ready, 5),
		reported("d", 1, Ready, 5), reported("e", 1, Ready, 5), reported("f", 1, Ready, 5),
	}})
	service := v.All()[0].service
	v.Handle(Leaving{At: at(1), Target: reported("c", 1, Ready, 5)})
	v.Handle(Withdrawals{At: at(1), Targets: []WithdrawnTarget{{
		Target: reported("d", 1, Ready, 5), Revision: vanillalug.NewStoreRevision(1, 12),
	}}})
	v.Handle(RegistryLost{At: at(2)})
	v.Handle(Removed{At: at(3), ID: "e", Revision: rev(11)})
	got := map[string]UnusedReason{}
	for _, u := range v.Unused(service) {
		got[u.Target.id] = u.Reason
	}
	require.Equal(t, map[string]UnusedReason{
		"b": UnusedDraining, "c": UnusedLeaving, "d": UnusedWithdrawn, "e": UnusedUnconfirmed,
	}, got)
	require.Empty(t, v.Unused("other"))
}
