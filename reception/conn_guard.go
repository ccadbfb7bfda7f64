package reception

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// ConnLimits bound how long a connection may keep the server waiting. They are
// asked for each time, so that they may change while the server runs.
type ConnLimits interface {
	// HeaderLimit returns how long the first header may take from the start of
	// the connection; 0 is no limit.
	HeaderLimit() time.Duration
	// IdleLimit returns how long it may take from an answer to the end of the
	// next header; 0 is no limit.
	IdleLimit() time.Duration
}

// connGuard closes connections that keep the server waiting beyond the limits.
type connGuard struct {
	limits ConnLimits

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newConnGuard(limits ConnLimits) *connGuard {
	return &connGuard{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// watch is told of every change of a connection. One becomes active when a
// header was read.
func (g *connGuard) watch(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		g.start(c, g.limits.HeaderLimit())
	case http.StateIdle:
		g.start(c, g.limits.IdleLimit())
	default:
		g.stop(c)
	}
}

// start closes the connection after the time, unless it is stopped before.
func (g *connGuard) start(c net.Conn, d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t, ok := g.timers[c]; ok {
		t.Stop()
		delete(g.timers, c)
	}
	if d > 0 {
		g.timers[c] = time.AfterFunc(d, func() { g.end(c) })
	}
}

// stop takes the limit away from a connection.
func (g *connGuard) stop(c net.Conn) { g.start(c, 0) }

// end closes a connection that still has a limit.
func (g *connGuard) end(c net.Conn) {
	g.mu.Lock()
	_, limited := g.timers[c]
	delete(g.timers, c)
	g.mu.Unlock()
	if limited {
		_ = c.Close()
	}
}
