package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSample: of very many engines some are asked, each at most once.
func TestSample(t *testing.T) {
	posts := make([]*post, 10)
	for i := range posts {
		posts[i] = &post{}
	}
	require.Equal(t, posts, sample(posts, len(posts)))
	got := sample(posts, 4)
	require.Len(t, got, 4)
	seen := map[*post]bool{}
	for _, p := range got {
		require.Contains(t, posts, p)
		seen[p] = true
	}
	require.Len(t, seen, 4)
}
