package channel

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// connectTimeout is short, as nothing was sent and another target may be
	// tried.
	connectTimeout = 400 * time.Millisecond
	// idleMargin is kept from the time at which a target closes an idle
	// connection.
	idleMargin = 800 * time.Millisecond
	// defaultIdle is for targets that say no idle time.
	defaultIdle = 4 * time.Second
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout       = 2500 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2

	// tcpUserTimeout is TCP_USER_TIMEOUT of Linux.
	tcpUserTimeout = 0x12
)

// ConnectError says that no connection could be opened, so nothing was sent.
type ConnectError struct {
	address string
	cause   error
}

// Error implements error.
func (e *ConnectError) Error() string { return fmt.Sprintf("connect to %s: %v", e.address, e.cause) }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.cause }

// PoolExhaustedError says that as many connections are open as this router may have.
type PoolExhaustedError struct {
	address string
	limit   int
}

// Error implements error.
func (e *PoolExhaustedError) Error() string {
	return fmt.Sprintf("connect to %s: all %d connections are in use", e.address, e.limit)
}

// Pool has the connections to one lifetime of a target. It is safe for
// concurrent use.
type Pool struct {
	address string

	mu    sync.Mutex
	idle  []*Conn
	open  int
	ended bool
}

// NewPool returns a pool for a target's IP number and port.
func NewPool(address string) *Pool { return &Pool{address: address} }

// Limits bound which connection a request gets.
type Limits struct {
	// MaxOpen is the most open connections; 0 is no limit.
	MaxOpen int
	// MaxIdleTime is how long a connection may have been idle; 0 is as long as the
	// target said.
	MaxIdleTime time.Duration
}

// Get returns the connection that was used last and is sound, or a new one,
// unless the limit of open connections is reached.
func (p *Pool) Get(ctx context.Context, now time.Time, limits Limits) (*Conn, error) {
	for {
		c := p.take()
		if c == nil {
			break
		}
		c.idle = now.Sub(c.idleSince)
		if c.idle < usableFor(c.idleFor) && (limits.MaxIdleTime == 0 || c.idle < limits.MaxIdleTime) && c.sound() {
			return c, nil
		}
		c.Discard()
	}
	return p.dial(ctx, limits.MaxOpen)
}

// Close closes the idle connections; those in use are closed after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.ended = true
	p.mu.Unlock()
	for _, c := range idle {
		c.Discard()
	}
}

// OpenConns returns the number of open connections.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func usableFor(idle time.Duration) time.Duration {
	if idle <= 0 {
		idle = defaultIdle
	}
	return max(idle-idleMargin, 0)
}

func (p *Pool) take() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	if !p.ended {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.Discard()
}

func (p *Pool) closed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

func (p *Pool) dial(ctx context.Context, limit int) (*Conn, error) {
	p.mu.Lock()
	if limit > 0 && p.open >= limit {
		p.mu.Unlock()
		return nil, &PoolExhaustedError{address: p.address, limit: limit}
	}
	p.open++
	p.mu.Unlock()
	d := net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	c, err := d.DialContext(ctx, "tcp4", p.address)
	if err != nil {
		p.closed()
		return nil, &ConnectError{address: p.address, cause: err}
	}
	return &Conn{Conn: c, pool: p, reader: bufio.NewReaderSize(c, readBufferSize)}, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// CloseExpired closes the connections that were idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var old []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) < usableFor(c.idleFor) {
			kept = append(kept, c)
			continue
		}
		old = append(old, c)
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.Discard()
	}
}
