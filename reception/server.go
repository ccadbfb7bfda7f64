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
	// forever keeps go-zero from ending the process on its own while a
	// graceful shutdown is still finishing streams.
	forever = 365 * 24 * time.Hour
)

// Server is one HTTP listener.
type Server struct {
	name   string
	server *rest.Server
	http   atomic.Pointer[http.Server]
	opts   serverOptions
	open   atomic.Int64
}

type serverOptions struct {
	maxHeaderBytes int
	headerTimeout  time.Duration
	idleTimeout    time.Duration
	maxConns       int
	handler        http.Handler
	guard          *connGuard
}

// ServerOption changes a new Server.
type ServerOption func(*serverOptions)

// WithMaxHeaderBytes sets the limit of a request's header.
func WithMaxHeaderBytes(n int) ServerOption {
	return func(o *serverOptions) { o.maxHeaderBytes = n }
}

// WithMaxConns sets the limit of open connections.
func WithMaxConns(n int) ServerOption {
	return func(o *serverOptions) { o.maxConns = n }
}

// WithTimeouts sets how long a caller may take for a header and how long a
// connection may be idle.
func WithTimeouts(header, idle time.Duration) ServerOption {
	return func(o *serverOptions) { o.headerTimeout, o.idleTimeout = header, idle }
}

// WithConnLimits closes connections that keep the server waiting for longer.
func WithConnLimits(limits ConnLimits) ServerOption {
	return func(o *serverOptions) { o.guard = newConnGuard(limits) }
}

// WithHandler sends every request to the handler, whatever its host and path.
func WithHandler(h http.Handler) ServerOption {
	return func(o *serverOptions) { o.handler = h }
}

// NewServer returns a server for the IP number and port.
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
	// All of go-zero's middlewares are off. Shedding, Breaker and MaxConns
	// refuse work behind the back of admission, Timeout buffers streams and
	// cuts them, Gunzip and MaxBytes change bodies, and Recover would end an
	// aborted stream cleanly; net/http recovers by closing the connection.
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

// Handle registers a handler. An empty method is any method; a path that ends
// in a slash is everything below it.
func (s *Server) Handle(method, path string, h http.HandlerFunc) {
	s.server.AddRoute(rest.Route{Method: method, Path: path, Handler: h})
}

// Serve answers requests until Shutdown or Close. It returns an error when
// the address is taken.
func (s *Server) Serve() (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("Server.Serve: %s: %v", s.name, p)
		}
	}()
	s.server.StartWithOpts(s.configure)
	return nil
}

// Shutdown takes no new connections and waits for the requests in progress.
func (s *Server) Shutdown(ctx context.Context) error {
	h := s.http.Load()
	if h == nil {
		return nil
	}
	return h.Shutdown(ctx)
}

// OpenConns returns the number of open connections.
func (s *Server) OpenConns() int64 { return s.open.Load() }

func (s *Server) configure(h *http.Server) {
	h.MaxHeaderBytes = s.opts.maxHeaderBytes
	h.ReadHeaderTimeout = s.opts.headerTimeout
	h.IdleTimeout = s.opts.idleTimeout
	h.ConnState = s.count
	s.http.Store(h)
}

func (s *Server) count(c net.Conn, state http.ConnState) {
	if s.opts.guard != nil {
		s.opts.guard.watch(c, state)
	}
	switch state {
	case http.StateNew:
		if s.open.Add(1) > int64(s.opts.maxConns) {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		s.open.Add(-1)
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
