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
	// maxInterim is how many 1xx answers may come before the final one.
	maxInterim = 4
)

// Conn is a connection to one lifetime of a target.
type Conn struct {
	net.Conn
	pool      *Pool
	reader    *bufio.Reader
	used      bool
	idleSince time.Time
	idleFor   time.Duration
	idle      time.Duration
}

// Reused reports whether the connection has served a request before.
func (c *Conn) Reused() bool { return c.used }

// IdleTime returns how long the connection was idle before it was taken last.
func (c *Conn) IdleTime() time.Duration { return c.idle }

// ReadResponse reads the head of the next answer; its body is read from the
// connection.
func (c *Conn) ReadResponse(method string) (*http.Response, error) {
	for range maxInterim {
		w, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, fmt.Errorf("Conn.ReadAnswer: %w", err)
		}
		if w.StatusCode >= http.StatusOK || w.StatusCode == http.StatusSwitchingProtocols {
			return w, nil
		}
	}
	return nil, errors.New("Conn.ReadAnswer: too many interim answers")
}

// Release gives the connection back for another request. The idle time is how
// long the target keeps it; 0 is not said.
func (c *Conn) Release(idle time.Duration, now time.Time) {
	if c.reader.Buffered() > 0 {
		c.Discard()
		return
	}
	c.used = true
	c.idleSince = now
	c.idleFor = idle
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Discard()
		return
	}
	c.pool.put(c)
}

// Discard closes the connection.
func (c *Conn) Discard() {
	_ = c.Close()
	c.pool.closed()
}

// sound reports whether the target has neither closed the idle connection nor
// sent anything on it.
func (c *Conn) sound() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		sound = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && sound
}
