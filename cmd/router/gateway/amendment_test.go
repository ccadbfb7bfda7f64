package gateway

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/amendment"
	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
)

// TestPeersSendTheDifference guards against a small change that costs each router the whole table:
// a peer sends the difference to a caller whose text it knows, and the whole to others, as to one of
// an older build, which states no digest.
func TestPeersSendTheDifference(t *testing.T) {
	tr := newRouterWithLargeTable(t)
	old := tr.g.table.Load()
	publishRoutes(tr.store, 2, largeRoutes+largeRoutes/100)
	require.Eventually(t, func() bool { return tr.tableVersion() == 2 }, waitTimeout, pollInterval)
	text := tr.g.table.Load().raw
	tests := map[string]struct {
		digest     uint64
		difference bool
	}{
		"knows the caller's text": {old.series.Digest(), true},
		"older build":             {0, false},
		"another text":            {1234, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			reply, err := tr.g.GetBeliefs(context.Background(), &peer.GetBeliefsRequest{
				PlanVersion: 1, PlanDigest: tt.digest, ReadsCompressed: true, Starting: true,
			})
			require.NoError(t, err)
			require.Equal(t, tt.difference, len(reply.PlanAmendment) > 0)
			require.Equal(t, !tt.difference, len(reply.CompressedPlan) > 0)
			if tt.difference {
				require.Less(t, len(reply.PlanAmendment), len(text)/50)
				got, err := amendment.Apply(old.raw, reply.PlanAmendment)
				require.NoError(t, err)
				require.Equal(t, text, got)
			}
		})
	}
}

// TestBrokenDifference guards against a router that asks for the difference for ever although it can't
// read it, and against a text that passes for the sender's.
func TestBrokenDifference(t *testing.T) {
	tr := newRouterWithLargeTable(t)
	base := tr.g.table.Load()
	good, err := amendment.Make(base.raw, []byte(`{"version":9}`))
	require.NoError(t, err)
	tests := map[string]*peer.GetBeliefsReply{
		"cut":          {PlanAmendment: good[:len(good)-3], PlanBase: base.series.Digest(), PlanDigest: amendment.Digest([]byte(`{"version":9}`))},
		"another text": {PlanAmendment: good, PlanBase: base.series.Digest(), PlanDigest: 77},
	}
	for name, reply := range tests {
		t.Run(name, func(t *testing.T) {
			tr.g.amendmentFailed.Store(0)
			require.NotZero(t, tr.g.tableDigest())
			reply.PlanVersion, reply.PlanRevision = 9, 900
			tr.g.applyPeerTable(reply, "peer")
			require.Equal(t, uint64(1), tr.tableVersion())
			require.Zero(t, tr.g.tableDigest(), "the whole is requested next")
		})
	}
	t.Run("another base", func(t *testing.T) {
		tr.g.applyPeerTable(&peer.GetBeliefsReply{PlanVersion: 9, PlanRevision: 900, PlanAmendment: good, PlanBase: 5}, "peer")
		require.Equal(t, uint64(1), tr.tableVersion())
	})
}

// TestDifferenceAfterWholeTable checks that a router that got the whole table from a peer sends the
// difference to others later.
func TestDifferenceAfterWholeTable(t *testing.T) {
	tr := newRouterWithLargeTable(t)
	b := newTestRouterAt(t, platformtest.NewStore(), "b")
	for version := range 3 {
		publishRoutes(tr.store, version+2, largeRoutes+version)
		require.Eventually(t, func() bool { return tr.tableVersion() == uint64(version+2) }, waitTimeout, pollInterval)
		request := &peer.GetBeliefsRequest{PlanVersion: b.tableVersion(), PlanDigest: b.g.tableDigest(), ReadsCompressed: true, Starting: true}
		reply, err := tr.g.GetBeliefs(context.Background(), request)
		require.NoError(t, err)
		require.Equal(t, version > 0, len(reply.PlanAmendment) > 0)
		b.g.applyPeerTable(reply, "peer")
		require.Equal(t, tr.g.table.Load().raw, b.g.table.Load().raw)
	}
}
