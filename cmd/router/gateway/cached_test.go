package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSample checks that a sample is bounded and has no upstream twice.
func TestSample(t *testing.T) {
	upstreams := make([]*upstream, 10)
	for i := range upstreams {
		upstreams[i] = &upstream{}
	}
	require.Equal(t, upstreams, sample(upstreams, len(upstreams)))
	got := sample(upstreams, 4)
	require.Len(t, got, 4)
	seen := map[*upstream]bool{}
	for _, u := range got {
		require.Contains(t, upstreams, u)
		seen[u] = true
	}
	require.Len(t, seen, 4)
}
