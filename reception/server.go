package reception

import (
	"context"
	"errors"
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

	"vanillalug.example/intake"
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
	address   string
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
	intake         *Intake
	withoutBodies  bool
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

// WithIntake bounds what the server holds for its clients.
func WithIntake(i *Intake) ServerOption { return func(o *serverOptions) { o.intake = i } }

// WithoutBodies says that no handler reads the body of a request. A connection with one that hasn't
// arrived is closed after the response.
func WithoutBodies() ServerOption { return func(o *serverOptions) { o.withoutBodies = true } }

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
	s := &Server{name: name, address: address, opts: o}
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
func (s *Server) Serve() error {
	h, err := s.newHTTPServer()
	if err != nil {
		return fmt.Errorf("Server.Serve: %s: %w", s.name, err)
	}
	var config net.ListenConfig
	l, err := config.Listen(context.Background(), "tcp", h.Addr)
	if err != nil {
		return fmt.Errorf("Server.Serve: %s: %w", s.name, err)
	}
	if s.opts.intake != nil {
		l = &heldListener{Listener: l, server: s, intake: s.opts.intake, group: intake.Group(s.opts.intake.groups.Add(1))}
	}
	s.http.Store(h)
	if err := h.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("Server.Serve: %s: %w", s.name, err)
	}
	return nil
}

// newHTTPServer returns the server with its routes. go-zero's own start can't take a listener.
func (s *Server) newHTTPServer() (*http.Server, error) {
	routes, err := rest.NewServerless(s.server)
	if err != nil {
		return nil, err
	}
	h := &http.Server{Addr: s.address, Handler: http.HandlerFunc(routes.Serve)}
	s.configure(h)
	if s.opts.intake != nil {
		h.Handler = s.accountFor(h.Handler)
		h.ConnContext = connContext
	}
	return h, nil
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
}

func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	if s.opts.guard != nil {
		s.opts.guard.connState(c, state)
	}
	if held, ok := c.(*heldConn); ok {
		held.connState(state)
	}
	switch state {
	case http.StateNew:
		if s.openConns.Add(1) > int64(s.opts.maxConns) && s.opts.intake == nil {
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
