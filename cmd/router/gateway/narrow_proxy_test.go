package gateway

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// narrowProxyInterval is the time between two reads of a narrowProxy.
const narrowProxyInterval = 20 * time.Millisecond

// narrowProxy returns an address that leads to another one; what comes back has the
// bandwidth narrowLink.
func narrowProxy(t *testing.T, address string) netip.AddrPort {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go forwardNarrow(c, address)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func forwardNarrow(c net.Conn, address string) {
	defer func() { _ = c.Close() }()
	up, err := net.Dial("tcp4", address)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	go func() { _, _ = io.Copy(up, c) }()
	part := make([]byte, narrowLink*int(narrowProxyInterval)/int(time.Second))
	for {
		n, err := up.Read(part)
		if _, writeErr := c.Write(part[:n]); err != nil || writeErr != nil {
			return
		}
		time.Sleep(time.Duration(n) * time.Second / narrowLink)
	}
}
