package reception

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// ConnLimits limits how long a connection may keep the server waiting. The limits
// are read on every use, so that they may change while the server runs.
type ConnLimits interface {
	// HeaderLimit returns the longest time from the start of a connection to the
	// end of its first request header; 0 is no limit.
	HeaderLimit() time.Duration
	// IdleLimit returns the longest time from a response to the end of the next
	// request header; 0 is no limit.
	IdleLimit() time.Duration
}

// connGuard closes connections that exceed the limits.
type connGuard struct {
	limits ConnLimits

	mu     sync.Mutex
	timers map[net.Conn]*connTimer
}

// connTimer is the timer of one state of a connection. One that has fired may still
// be waiting for the mutex when the connection has its next one.
type connTimer struct{ *time.Timer }

func newConnGuard(limits ConnLimits) *connGuard {
	return &connGuard{limits: limits, timers: map[net.Conn]*connTimer{}}
}

// connState handles the state changes of connections, as http.Server.ConnState. A
// connection becomes active when a request header was read.
func (g *connGuard) connState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		g.startTimer(c, g.limits.HeaderLimit())
	case http.StateIdle:
		g.startTimer(c, g.limits.IdleLimit())
	default:
		g.stopTimer(c)
	}
}

// startTimer closes the connection after the time unless stopTimer is called
// first. It replaces an earlier timer.
func (g *connGuard) startTimer(c net.Conn, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t, ok := g.timers[c]; ok {
		t.Stop()
		delete(g.timers, c)
	}
	if d > 0 {
		t := &connTimer{}
		t.Timer = time.AfterFunc(d, func() { g.closeExpired(c, t) })
		g.timers[c] = t
	}
}

// stopTimer removes the timer of a connection.
func (g *connGuard) stopTimer(c net.Conn) { g.startTimer(c, 0) }

// closeExpired closes a connection unless its timer was removed or replaced
// meanwhile.
func (g *connGuard) closeExpired(c net.Conn, expired *connTimer) {
	g.mu.Lock()
	current := g.timers[c] == expired
	if current {
		delete(g.timers, c)
	}
	g.mu.Unlock()
	if current {
		_ = c.Close()
	}
}
