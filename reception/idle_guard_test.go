package reception

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestIdleGuard: an idle connection is closed at the limit, one in use is not.
func TestIdleGuard(t *testing.T) {
	const limit = 30 * time.Millisecond
	g := newIdleGuard(func() time.Duration { return limit })
	idle, idlePeer := net.Pipe()
	busy, busyPeer := net.Pipe()
	defer func() { _ = busyPeer.Close() }()
	g.watch(idle, http.StateNew)
	g.watch(idle, http.StateActive)
	g.watch(idle, http.StateIdle)
	g.watch(busy, http.StateIdle)
	g.watch(busy, http.StateActive)
	_, err := idlePeer.Read(make([]byte, 1))
	require.Error(t, err, "closed at the limit")
	require.NoError(t, busy.SetReadDeadline(time.Now().Add(3*limit)))
	var timeout net.Error
	_, err = busy.Read(make([]byte, 1))
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), "still open")
	require.Empty(t, g.timers)
}
