package reception

import (
	"context"
	"net"
)

type connectCheckKey struct{}

// WithConnectCheck returns a context for requests that are not sent if the check fails
// when a connection has been opened for them. The error is a dial error then, so that
// certainly nothing was sent. Reused connections are not checked.
func WithConnectCheck(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, connectCheckKey{}, check)
}

// checkConnected closes the connection and returns an error if the check of the context
// fails.
func checkConnected(ctx context.Context, c net.Conn) (net.Conn, error) {
	check, ok := ctx.Value(connectCheckKey{}).(func() error)
	if !ok {
		return c, nil
	}
	if err := check(); err != nil {
		_ = c.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
	}
	return c, nil
}
