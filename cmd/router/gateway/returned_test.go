package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// TestReturnedTarget guards against a target that has left being used again, as one of its heartbeats from before
// is performed late. One that is back in fact is used as soon as it says so.
func TestReturnedTarget(t *testing.T) {
	write := func(text string) func(net.Conn) {
		return func(c net.Conn) { _, _ = io.WriteString(c, text) }
	}
	tests := map[string]struct {
		sequence int
		change   func(target *platformtest.Target)
		used     bool
	}{
		"serves, a later heartbeat":    {9, func(*platformtest.Target) {}, true},
		"serves, an earlier heartbeat": {1, func(*platformtest.Target) {}, true},
		"leaves, a later heartbeat":    {9, func(x *platformtest.Target) { x.SetLeaving(true) }, false},
		"leaves, an earlier heartbeat": {1, func(x *platformtest.Target) { x.SetLeaving(true) }, false},
		"leaves, and its checks pass": {9, func(x *platformtest.Target) {
			x.SetHealth(write("HTTP/1.1 200 OK\r\nX-Instance-Id: p1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"))
		}, false},
		"drains": {9, func(x *platformtest.Target) {
			x.SetHealth(write("HTTP/1.1 503 Service Unavailable\r\nX-Instance-Id: p1\r\nContent-Length: 0\r\n\r\n"))
		}, false},
		"gives no answer": {9, func(x *platformtest.Target) { x.SetHealth(func(net.Conn) {}) }, false},
		"has gone":        {9, func(x *platformtest.Target) { x.Close() }, false},
		"another target has its address": {9, func(x *platformtest.Target) {
			x.SetHealth(write("HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Instance-Id: p9\r\nContent-Length: 0\r\n\r\n"))
		}, false},
		"another program has it": {9, func(x *platformtest.Target) { x.SetHealth(write("HTTP/1.1 200 OK\r\n" + foreignPage)) }, false},
	}
	for name, tt := range tests {
		for _, listed := range []bool{false, true} {
			t.Run(name+", listed "+strconv.FormatBool(listed), func(t *testing.T) {
				t.Parallel()
				tr := newTestRouter(t)
				targets := tr.addTargets(plainService, "p1", "p2")
				tr.waitReady(2)
				tr.store.PutJSON("servers", "p1", targets[0].Heartbeat(5))
				tr.store.Delete("servers", "p1")
				tr.waitReady(1)
				if listed {
					tr.store.SetFault(platformtest.Reset)
					tr.store.Compact()
				}
				tt.change(targets[0])
				tr.store.PutJSON("servers", "p1", targets[0].Heartbeat(tt.sequence))
				if listed {
					tr.store.Compact()
					tr.store.SetFault(platformtest.NoFault)
				}
				if tt.used {
					tr.waitReady(2)
					require.Equal(t, 1, targets[0].HealthChecks())
					return
				}
				for until := time.Now().Add(3 * healthInterval); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
					require.Equal(t, http.StatusOK, tr.post("/once/x", "a"+strconv.FormatInt(time.Now().UnixNano(), 10), "work").status)
				}
				require.Empty(t, targets[0].Arrivals())
			})
		}
	}
}

// TestReturnedTargetIsNotCheckedAtOnceAgain guards against health checks without end of a target that fails them.
func TestReturnedTargetIsNotCheckedAtOnceAgain(t *testing.T) {
	tr := newTestRouter(t)
	target := tr.addTargets(plainService, "p1", "p2")[0]
	tr.waitReady(2)
	target.SetHealth(func(net.Conn) {})
	tr.store.Delete("servers", "p1")
	tr.waitReady(1)
	for i := range 20 {
		tr.store.PutJSON("servers", "p1", target.Heartbeat(10+i))
		time.Sleep(50 * time.Millisecond)
	}
	require.Positive(t, target.HealthChecks())
	require.LessOrEqual(t, target.HealthChecks(), 5)
	tr.store.Delete("servers", "p1")
	time.Sleep(2 * healthInterval)
	checks := target.HealthChecks()
	time.Sleep(2 * healthInterval)
	require.Equal(t, checks, target.HealthChecks(), "the entry has gone")
}
