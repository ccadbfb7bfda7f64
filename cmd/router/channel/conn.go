package channel

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	readBufferSize = 4 << 10
	// maxInterim is the number of 1xx responses read before the final one.
	maxInterim = 4
	// maxHeadBytes bounds what is read of the head of a response and the interim ones before it.
	maxHeadBytes = 64 << 10
)

// Conn is a pooled connection to one incarnation of a target.
type Conn struct {
	net.Conn
	pool   *Pool
	reader *bufio.Reader
	// limit bounds what reader reads while a head is awaited.
	limit       *readLimit
	reused      bool
	idleSince   time.Time
	idleTimeout time.Duration
	idleTime    time.Duration
}

// Reused reports whether the connection has served a request before.
func (c *Conn) Reused() bool { return c.reused }

// IdleTime returns how long the connection was idle before its current use.
func (c *Conn) IdleTime() time.Duration { return c.idleTime }

// ReadResponse reads the head of the next response and skips up to maxInterim
// interim ones. Its body is read from the connection. What the heads need is charged with hold, which
// may be nil. It returns a *HeadTooLargeError if the heads don't end, a *NoRoomError if there is no
// memory for them, and a *reception.MalformedHeadError if they are none.
func (c *Conn) ReadResponse(method string, hold HoldFunc) (*http.Response, error) {
	before, _ := c.reader.Peek(c.reader.Buffered())
	err := c.limit.set(maxHeadBytes, hold, before)
	defer c.limit.lift()
	if err != nil {
		return nil, fmt.Errorf("Conn.ReadResponse: %w", err)
	}
	for range maxInterim {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("Conn.ReadResponse: %w", err)
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("Conn.ReadResponse: too many interim responses")
}

// Release returns the connection to the pool. idleTimeout is how long the target
// keeps an idle connection open; 0 if it did not say.
func (c *Conn) Release(idleTimeout time.Duration, now time.Time) {
	if c.reader.Buffered() > 0 {
		c.Discard()
		return
	}
	c.reused = true
	c.idleSince = now
	c.idleTimeout = idleTimeout
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Discard()
		return
	}
	c.pool.putIdle(c)
}

// Discard closes the connection and takes it out of the pool's count.
func (c *Conn) Discard() {
	_ = c.Close()
	c.pool.connClosed()
}

// healthy reports whether the target has neither closed the idle connection nor
// sent unexpected bytes on it. It reads without blocking: EAGAIN means that
// there is nothing to read.
func (c *Conn) healthy() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		healthy = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && healthy
}
