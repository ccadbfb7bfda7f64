package channel

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"
)

const (
	// userTimeout is how long sent bytes, or keep-alive probes, may stay unacknowledged before
	// the kernel closes the connection, whatever the number of probes is.
	userTimeout       = 2500 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 0x12
)

// DialFunc opens a TCP connection to an IPv4 address and port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a connection that is given up some seconds after the other side has ceased to
// acknowledge anything.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	return dialFrom(ctx, nil, address)
}

// DialFrom is Dial from one of the VM's own IP addresses.
func DialFrom(ctx context.Context, own netip.Addr, address string) (net.Conn, error) {
	return dialFrom(ctx, net.TCPAddrFromAddrPort(netip.AddrPortFrom(own, 0)), address)
}

func dialFrom(ctx context.Context, local net.Addr, address string) (net.Conn, error) {
	d := net.Dialer{
		LocalAddr: local,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return d.DialContext(ctx, "tcp4", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
