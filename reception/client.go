package reception

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

const (
	defaultConnectTimeout  = time.Second
	defaultIdleConns       = 256
	defaultPoolTime        = 30 * time.Second
	continueTimeout        = time.Second
	clientBufferSize       = 1 << 10
	clientWriteBufferSize  = 1 << 10
	clientMaxResponseBytes = 64 << 10
	defaultKeepAlive       = 15 * time.Second
	keepAliveCount         = 2
)

// Client sends HTTP requests. It follows no redirects and has no breaker.
type Client struct {
	service   httpc.Service
	transport *http.Transport
}

type clientOptions struct {
	connectTimeout time.Duration
	fresh          bool
	poolTime       time.Duration
	count          ByteCounter
	keepAlive      net.KeepAliveConfig
}

// ByteCounter is told of bytes that a connection sent or received.
type ByteCounter func(sent, received int)

// ClientOption changes a new Client.
type ClientOption func(*clientOptions)

// WithoutConnectionReuse uses a new connection for each request. The transport
// then never sends a request twice, and a failure to connect proves that
// nothing was sent.
func WithoutConnectionReuse() ClientOption {
	return func(o *clientOptions) { o.fresh = true }
}

// WithConnectTimeout sets how long a connection may take to open.
func WithConnectTimeout(d time.Duration) ClientOption {
	return func(o *clientOptions) { o.connectTimeout = d }
}

// WithIdleConnTimeout sets how long an idle connection is used again.
func WithIdleConnTimeout(d time.Duration) ClientOption {
	return func(o *clientOptions) { o.poolTime = d }
}

// WithByteCounter counts the bytes of all connections, HTTP headers included.
func WithByteCounter(count ByteCounter) ClientOption {
	return func(o *clientOptions) { o.count = count }
}

// WithKeepAlive probes idle connections, so that one which went silent is
// closed after the idle time and two intervals.
func WithKeepAlive(idle, interval time.Duration) ClientOption {
	return func(o *clientOptions) {
		o.keepAlive = net.KeepAliveConfig{Enable: true, Idle: idle, Interval: interval, Count: keepAliveCount}
	}
}

// NewClient returns a client. The name is that of the kind of server.
func NewClient(name string, opts ...ClientOption) *Client {
	o := clientOptions{connectTimeout: defaultConnectTimeout, poolTime: defaultPoolTime}
	for _, opt := range opts {
		opt(&o)
	}
	t := &http.Transport{
		DialContext:            dialer(o),
		DisableKeepAlives:      o.fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    defaultIdleConns,
		IdleConnTimeout:        o.poolTime,
		ExpectContinueTimeout:  continueTimeout,
		ReadBufferSize:         clientBufferSize,
		WriteBufferSize:        clientWriteBufferSize,
		MaxResponseHeaderBytes: clientMaxResponseBytes,
	}
	client := &http.Client{Transport: t, CheckRedirect: noRedirect}
	breaker.NoBreakerFor(name)
	return &Client{service: httpc.NewServiceWithClient(name, client), transport: t}
}

// DoRequest sends a request and returns the response.
func (c *Client) DoRequest(r *http.Request) (*http.Response, error) {
	return c.service.DoRequest(r)
}

// Do is DoRequest under the name that twirp clients want.
func (c *Client) Do(r *http.Request) (*http.Response, error) { return c.DoRequest(r) }

// CloseIdleConnections closes the pooled connections that are idle now.
func (c *Client) CloseIdleConnections() { c.transport.CloseIdleConnections() }

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func dialer(o clientOptions) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: o.connectTimeout, KeepAlive: defaultKeepAlive, KeepAliveConfig: o.keepAlive}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err != nil || o.count == nil {
			return c, err
		}
		return &countedConn{Conn: c, count: o.count}, nil
	}
}
