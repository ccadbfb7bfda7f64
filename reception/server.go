package reception

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
)

const (
	defaultMaxHeaderBytes = 32 << 10
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 90 * time.Second
	defaultMaxConns       = 10000
	// forever keeps go-zero from ending the process while a graceful shutdown
	// still waits for streams to finish.
	forever = 365 * 24 * time.Hour
)

// Server is one HTTP listener.
type Server struct {
	name      string
	server    *rest.Server
	http      atomic.Pointer[http.Server]
	opts      serverOptions
	openConns atomic.Int64
}

type serverOptions struct {
	maxHeaderBytes int
	headerTimeout  time.Duration
	idleTimeout    time.Duration
	maxConns       int
	handler        http.Handler
	guard          *connGuard
}

// ServerOption is an option of NewServer.
type ServerOption func(*serverOptions)

// WithMaxHeaderBytes sets the maximum size of a request's header.
func WithMaxHeaderBytes(n int) ServerOption {
	return func(o *serverOptions) { o.maxHeaderBytes = n }
}

// WithMaxConns sets the maximum number of open connections.
func WithMaxConns(n int) ServerOption {
	return func(o *serverOptions) { o.maxConns = n }
}

// WithTimeouts sets the timeouts for reading a request header and for idle
// connections.
func WithTimeouts(header, idle time.Duration) ServerOption {
	return func(o *serverOptions) { o.headerTimeout, o.idleTimeout = header, idle }
}

// WithConnLimits closes connections that exceed the limits.
func WithConnLimits(limits ConnLimits) ServerOption {
	return func(o *serverOptions) { o.guard = newConnGuard(limits) }
}

// WithHandler passes every request to the handler, whatever its host and path.
func WithHandler(h http.Handler) ServerOption {
	return func(o *serverOptions) { o.handler = h }
}

// NewServer returns a server that listens on the IP address and port.
func NewServer(name, address string, opts ...ServerOption) (*Server, error) {
	o := serverOptions{
		maxHeaderBytes: defaultMaxHeaderBytes,
		headerTimeout:  defaultHeaderTimeout,
		idleTimeout:    defaultIdleTimeout,
		maxConns:       defaultMaxConns,
	}
	for _, opt := range opts {
		opt(&o)
	}
	host, port, err := splitAddress(address)
	if err != nil {
		return nil, fmt.Errorf("NewServer: %w", err)
	}
	// All of go-zero's middlewares are disabled. Shedding, Breaker and MaxConns
	// reject requests without regard to admission control, Timeout buffers and
	// truncates streams, Gunzip and MaxBytes change bodies, and Recover would
	// end an aborted stream cleanly; net/http recovers by closing the connection.
	conf := rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     name,
			Mode:     service.ProMode,
			Shutdown: proc.ShutdownConf{WrapUpTime: forever, WaitTime: forever},
		},
		Host: host,
		Port: port,
	}
	s := &Server{name: name, opts: o}
	server, err := rest.NewServer(conf, rest.WithRouter(o.router()))
	if err != nil {
		return nil, fmt.Errorf("NewServer: %s: %w", name, err)
	}
	s.server = server
	return s, nil
}

func (o serverOptions) router() httpx.Router {
	if o.handler != nil {
		return handlerRouter{o.handler}
	}
	return newPathRouter()
}

// Handle registers a handler. An empty method matches any method; a path that
// ends in a slash matches all paths below it.
func (s *Server) Handle(method, path string, h http.HandlerFunc) {
	s.server.AddRoute(rest.Route{Method: method, Path: path, Handler: h})
}

// Serve handles requests until Shutdown. It returns an error if the address is
// already in use.
func (s *Server) Serve() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("Server.Serve: %s: %v", s.name, p)
		}
	}()
	s.server.StartWithOpts(s.configure)
	return nil
}

// Shutdown stops accepting connections and waits for the requests in flight.
func (s *Server) Shutdown(ctx context.Context) error {
	h := s.http.Load()
	if h == nil {
		return nil
	}
	return h.Shutdown(ctx)
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int64 { return s.openConns.Load() }

func (s *Server) configure(h *http.Server) {
	h.MaxHeaderBytes = s.opts.maxHeaderBytes
	h.ReadHeaderTimeout = s.opts.headerTimeout
	h.IdleTimeout = s.opts.idleTimeout
	h.ConnState = s.trackConn
	s.http.Store(h)
}

func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	if s.opts.guard != nil {
		s.opts.guard.connState(c, state)
	}
	switch state {
	case http.StateNew:
		if s.openConns.Add(1) > int64(s.opts.maxConns) {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	}
}

func splitAddress(address string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(text)
	return host, port, err
}
