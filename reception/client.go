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
	maxIdleConnsPerHost    = 256
	defaultIdleConnTimeout = 30 * time.Second
	continueTimeout        = time.Second
	clientBufferSize       = 1 << 10
	clientWriteBufferSize  = 1 << 10
	clientMaxResponseBytes = 64 << 10
	defaultKeepAlive       = 15 * time.Second
	keepAliveCount         = 2
)

// Client sends HTTP requests. It follows no redirects and has no circuit breaker.
type Client struct {
	service   httpc.Service
	transport *http.Transport
	// maxBody bounds the body of a response, in bytes; 0 is no limit.
	maxBody int
}

type clientOptions struct {
	connectTimeout  time.Duration
	noReuse         bool
	idleConnTimeout time.Duration
	count           ByteCounter
	keepAlive       net.KeepAliveConfig
	maxBody         int
}

// ByteCounter is called with the number of bytes that a connection sent or
// received.
type ByteCounter func(sent, received int)

// ClientOption is an option of NewClient.
type ClientOption func(*clientOptions)

// WithoutConnectionReuse opens a new connection for each request. The transport
// then never retries a request, and a dial error proves that nothing was sent.
func WithoutConnectionReuse() ClientOption {
	return func(o *clientOptions) { o.noReuse = true }
}

// WithConnectTimeout sets the timeout for opening a connection.
func WithConnectTimeout(d time.Duration) ClientOption {
	return func(o *clientOptions) { o.connectTimeout = d }
}

// WithIdleConnTimeout sets how long an idle connection stays in the pool.
func WithIdleConnTimeout(d time.Duration) ClientOption {
	return func(o *clientOptions) { o.idleConnTimeout = d }
}

// WithMaxBody bounds the bodies of responses, in bytes. Reading beyond it fails with a
// *BodyTooLargeError.
func WithMaxBody(n int) ClientOption { return func(o *clientOptions) { o.maxBody = n } }

// WithByteCounter counts the bytes of all connections, HTTP headers included.
func WithByteCounter(count ByteCounter) ClientOption {
	return func(o *clientOptions) { o.count = count }
}

// WithKeepAlive enables TCP keep-alive probes on idle connections, so that one to
// an unresponsive server is closed after the idle time and two intervals.
func WithKeepAlive(idle, interval time.Duration) ClientOption {
	return func(o *clientOptions) {
		o.keepAlive = net.KeepAliveConfig{Enable: true, Idle: idle, Interval: interval, Count: keepAliveCount}
	}
}

// NewClient returns a client. The name is that of the kind of server; go-zero's
// circuit breaker of that name is disabled.
func NewClient(name string, opts ...ClientOption) *Client {
	o := clientOptions{connectTimeout: defaultConnectTimeout, idleConnTimeout: defaultIdleConnTimeout}
	for _, opt := range opts {
		opt(&o)
	}
	t := &http.Transport{
		DialContext:            dialer(o),
		DisableKeepAlives:      o.noReuse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        o.idleConnTimeout,
		ExpectContinueTimeout:  continueTimeout,
		ReadBufferSize:         clientBufferSize,
		WriteBufferSize:        clientWriteBufferSize,
		MaxResponseHeaderBytes: clientMaxResponseBytes,
	}
	client := &http.Client{Transport: t, CheckRedirect: noRedirect}
	breaker.NoBreakerFor(name)
	return &Client{service: httpc.NewServiceWithClient(name, client), transport: t, maxBody: o.maxBody}
}

// DoRequest sends a request and returns the response. If reading its body fails, the
// error is an *IncompleteBodyError; if the response is none, a *MalformedHeadError.
func (c *Client) DoRequest(r *http.Request) (*http.Response, error) {
	ctx, written := traceWrite(r.Context())
	resp, err := c.service.DoRequest(r.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := checkResponse(resp); err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if EndsWithConn(resp) {
		resp.Body = NewConnBody(resp.Body, written.Load)
	}
	resp.Body = newResponseBody(r.Context(), resp, c.maxBody)
	return resp, nil
}

// Do is DoRequest under the name that Twirp clients require.
func (c *Client) Do(r *http.Request) (*http.Response, error) { return c.DoRequest(r) }

// CloseIdleConnections closes the connections that are now idle in the pool.
func (c *Client) CloseIdleConnections() { c.transport.CloseIdleConnections() }

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func dialer(o clientOptions) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: o.connectTimeout, KeepAlive: defaultKeepAlive, KeepAliveConfig: o.keepAlive}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, address)
		if err == nil {
			c, err = checkConnected(ctx, c)
		}
		if err != nil {
			return c, err
		}
		c = &checkedConn{Conn: c}
		if o.count == nil {
			return c, nil
		}
		return &countedConn{Conn: c, count: o.count}, nil
	}
}
