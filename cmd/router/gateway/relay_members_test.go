package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// TestCallersCannotForgeRelayedRequests checks that only routers of the fleet may relay requests,
// and that a caller's headers don't count.
func TestCallersCannotForgeRelayedRequests(t *testing.T) {
	f := newPartitionTestFleet(t, 2)
	send := func(from, address, name string) string {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		c, err := d.DialContext(context.Background(), "tcp4", address)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, platformtest.Head(http.MethodPost, "/once/x", "forged", testKey)+
			relayHeader+": "+name+"\r\n"+relayAttemptsHeader+": 0\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		require.NoError(t, err)
		w, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(t, err)
		defer func() { _ = w.Body.Close() }()
		return w.Status
	}
	peers := f.routers[1].g.cfg.PeerAddress
	member := netip.MustParseAddrPort(f.routers[0].g.cfg.PeerAddress).Addr().String()
	require.Contains(t, send("127.0.0.1", peers, "r0"), "403", "from another address")
	require.Contains(t, send(member, peers, "nobody"), "403", "of a router that does not exist")
	require.Zero(t, countExecutions("forged", f.targets))
	require.Contains(t, send(member, peers, "r0"), "200")
	entry := strings.TrimPrefix(f.routers[1].entry.URL, "http://")
	f.cut(resetting, 2)
	f.waitRelaying(t, "/once/x", plainService, 2)
	require.Contains(t, send("127.0.0.1", entry, "r0"), "503", "an entry takes it for a caller's")
}
