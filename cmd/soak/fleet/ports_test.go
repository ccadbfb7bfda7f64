package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestFleetsShareNoPorts guards against two processes giving the same port to their routers, one of which
// then doesn't start, while the other answers its callers.
func TestFleetsShareNoPorts(t *testing.T) {
	const start = 7
	one, err := takeBlock(start)
	require.NoError(t, err)
	defer func() { _ = one.lock.Close() }()
	other, err := takeBlock(start)
	require.NoError(t, err)
	defer func() { _ = other.lock.Close() }()
	require.False(t, one.next <= other.last && other.next <= one.last)
}
