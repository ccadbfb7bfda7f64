package reception

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleGuard closes connections that are idle for longer than a limit that may
// change while the server runs.
type idleGuard struct {
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleGuard(limit func() time.Duration) *idleGuard {
	return &idleGuard{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// watch is told of every change of a connection.
func (g *idleGuard) watch(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t, ok := g.timers[c]; ok {
		t.Stop()
		delete(g.timers, c)
	}
	if state != http.StateIdle {
		return
	}
	if d := g.limit(); d > 0 {
		g.timers[c] = time.AfterFunc(d, func() { g.end(c) })
	}
}

// end closes a connection that is still idle.
func (g *idleGuard) end(c net.Conn) {
	g.mu.Lock()
	_, idle := g.timers[c]
	delete(g.timers, c)
	g.mu.Unlock()
	if idle {
		_ = c.Close()
	}
}
