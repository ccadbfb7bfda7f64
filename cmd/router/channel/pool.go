package channel

import (
	"bufio"
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// connectTimeout is short because nothing has been sent yet, so another
	// target can be tried.
	connectTimeout = 400 * time.Millisecond
	// idleMargin is how long before the target's idle timeout a connection is no
	// longer reused, as the target may be closing it.
	idleMargin = 800 * time.Millisecond
	// defaultIdleTimeout is for targets that announce no idle timeout.
	defaultIdleTimeout = 4 * time.Second
)

// ConnectError is returned when a connection cannot be opened. Nothing was sent.
type ConnectError struct {
	address string
	cause   error
}

// Error implements error.
func (e *ConnectError) Error() string { return fmt.Sprintf("connect to %s: %v", e.address, e.cause) }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.cause }

// PoolExhaustedError is returned when the limit of open connections is reached.
// Nothing was sent.
type PoolExhaustedError struct {
	address string
	limit   int
}

// Error implements error.
func (e *PoolExhaustedError) Error() string {
	return fmt.Sprintf("connect to %s: all %d connections are in use", e.address, e.limit)
}

// Pool holds the connections to one incarnation of a target. It is safe for
// concurrent use.
type Pool struct {
	address    string
	dialTarget DialFunc

	mu     sync.Mutex
	idle   []*Conn
	open   int
	closed bool
}

// NewPool returns a pool for a target's address, an IPv4 address and port, whose connections
// are opened by dial.
func NewPool(address string, dial DialFunc) *Pool { return &Pool{address: address, dialTarget: dial} }

// Limits restricts which connection Get returns.
type Limits struct {
	// MaxOpen is the maximum number of open connections; 0 means no limit.
	MaxOpen int
	// MaxIdleTime is how long a connection may have been idle; 0 means the idle
	// timeout announced by the target.
	MaxIdleTime time.Duration
	// New demands a connection on which nothing was sent or received before.
	New bool
}

// Get returns the most recently used idle connection that is healthy, or dials a
// new one. It returns a *PoolExhaustedError when limits.MaxOpen is reached and a
// *ConnectError when dialing fails.
func (p *Pool) Get(ctx context.Context, now time.Time, limits Limits) (*Conn, error) {
	for !limits.New {
		c := p.popIdle()
		if c == nil {
			break
		}
		c.idleTime = now.Sub(c.idleSince)
		if c.idleTime < maxIdleTime(c.idleTimeout) && (limits.MaxIdleTime == 0 || c.idleTime < limits.MaxIdleTime) && c.healthy() {
			return c, nil
		}
		c.Discard()
	}
	return p.dial(ctx, limits.MaxOpen)
}

// Open opens a connection and keeps it as an idle one.
func (p *Pool) Open(ctx context.Context, now time.Time) error {
	c, err := p.dial(ctx, 0)
	if err != nil {
		return err
	}
	c.idleSince = now
	p.putIdle(c)
	return nil
}

// Close closes the idle connections; those in use are closed on Release.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		c.Discard()
	}
}

// maxIdleTime returns how long a connection may be idle and still be reused.
func maxIdleTime(idleTimeout time.Duration) time.Duration {
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	return max(idleTimeout-idleMargin, 0)
}

func (p *Pool) popIdle() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *Pool) putIdle(c *Conn) {
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	c.Discard()
}

func (p *Pool) connClosed() {
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
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := p.dialTarget(ctx, p.address)
	if err != nil {
		p.connClosed()
		return nil, &ConnectError{address: p.address, cause: err}
	}
	head := &readLimit{in: c}
	return &Conn{Conn: c, pool: p, limit: head, reader: bufio.NewReaderSize(head, readBufferSize)}, nil
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var expired []*Conn
	remaining := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) < maxIdleTime(c.idleTimeout) {
			remaining = append(remaining, c)
			continue
		}
		expired = append(expired, c)
	}
	p.idle = remaining
	p.mu.Unlock()
	for _, c := range expired {
		c.Discard()
	}
}
