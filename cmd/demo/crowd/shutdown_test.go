package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/platform/platformtest"
)

const (
	// gracePeriod is that of the routers in these tests. The platform's balancer may send connections
	// for most of it.
	gracePeriod = 5 * time.Second
	// slowTime is how long a slow target works on a request.
	slowTime = 1200 * time.Millisecond
	// lateInterval is the time between two requests after SIGTERM.
	lateInterval = 150 * time.Millisecond
	slowEvents   = 12
)

// newSlowTarget returns a target that works for slowTime on each request, and counts them.
func newSlowTarget(address string, stream bool, runs *atomic.Int64) (*endlessTarget, error) {
	return newEndlessTarget(address, func(w io.Writer, head string) error {
		runs.Add(1)
		return respondSlowly(w, head, stream)
	})
}

func respondSlowly(w io.Writer, head string, stream bool) error {
	if !stream {
		time.Sleep(slowTime)
		_, err := fmt.Fprintf(w, "%s%sConnection: close\r\nContent-Length: 4\r\n\r\ndone", okStatus, head)
		return err
	}
	if _, err := io.WriteString(w, okStatus+head+"Content-Type: text/event-stream\r\nConnection: close\r\n"+chunkedBody); err != nil {
		return err
	}
	for i := range slowEvents {
		time.Sleep(slowTime / slowEvents)
		event := fmt.Sprintf("id: %d\ndata: {}\n\n", i+1)
		if !strings.Contains(head, "X-Attempt-Id") {
			event = "data: {}\n\n"
		}
		if err := writeChunk(w, event); err != nil {
			return err
		}
	}
	if !strings.Contains(head, "X-Attempt-Id") {
		if err := writeChunk(w, "data: [DONE]\n\n"); err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}

func writeChunk(w io.Writer, text string) error {
	_, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
	return err
}

// latePath is where callers send requests to a router that is told to stop.
type latePath struct {
	start    func(*testing.T) *router
	listener string
	head     string
	body     string
	// fresh says that the connection hasn't served a request before, and atOnce that it is opened
	// right before, as a peer does.
	fresh, atOnce bool
}

var latePaths = map[string]latePath{
	"connections just opened": {startSlowPlatform, "entry", platformtest.Head("POST", "/slow/x", "%s", apiKey), "x", true, false},
	"kept connections":        {startSlowPlatform, "entry", platformtest.Head("POST", "/slow/x", "%s", apiKey), "x", false, false},
	"streams":                 {startSlowPlatform, "entry", platformtest.Head("POST", "/slow-stream/x", "%s", apiKey), "x", true, false},
	"relayed by a peer":       {startSlowPlatform, "peers", relayedHead("/slow/x"), "x", false, true},
	"streams of a peer":       {startSlowPlatform, "peers", relayedHead("/slow-stream/x"), "x", false, true},
	"own interface":           {startSlowOwn, "callers", "POST /bookings/%s HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer " + stage.APIKey(workspace) + "\r\n", "x", true, false},
	"own interface, kept":     {startSlowOwn, "callers", "POST /bookings/%s HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer " + stage.APIKey(workspace) + "\r\n", "x", false, false},
	"own interface, chats":    {startSlowOwn, "callers", "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Test: %s\r\nContent-Type: application/json\r\nAuthorization: Bearer " + stage.APIKey(workspace) + "\r\n", chatBody, true, false},
}

// relayedHead is the head of a request that the router r2 relays.
func relayedHead(path string) string {
	return strings.Replace(platformtest.Head("POST", path, "%s", apiKey), "\r\n", "\r\nVanillalug-Relayed-By: r2\r\nVanillalug-Attempts: 0\r\n", 1)
}

// TestRequestsLateInTheGrace guards against a planned stop that cuts requests which came late: each
// request that a router passes on ends whole, and each other one is refused, or its connection closed
// before it is read.
func TestRequestsLateInTheGrace(t *testing.T) {
	for name, p := range latePaths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.run(t)
		})
	}
}

func (p latePath) run(t *testing.T) {
	r := p.start(t)
	for listener := range r.ordinary {
		require.NoError(t, r.awaitAnswer(listener), "before: %s", r.logs())
	}
	for i := range 3 {
		first := p.call(p.dial(t, r), fmt.Sprintf("%016x", 1000+i))
		require.Equal(t, http.StatusOK, first.status, "before the stop: %v %s", first.err, r.logs())
	}
	calls := int(gracePeriod / lateInterval)
	conns := make([]net.Conn, calls)
	for i := range conns {
		if p.fresh || p.atOnce {
			continue
		}
		conns[i] = p.dial(t, r)
		go p.call(conns[i], fmt.Sprintf("%016x", 2000+i))
	}
	time.Sleep(2 * slowTime)
	before := r.runs.Load()
	require.NoError(t, syscall.Kill(r.pid, syscall.SIGTERM))
	ends := make([]lateEnd, calls)
	var done sync.WaitGroup
	for i, c := range conns {
		if p.fresh {
			// The balancer still sends connections; on some the request comes late.
			c = p.dial(t, r)
		}
		done.Add(1)
		time.AfterFunc(time.Duration(i)*lateInterval, func() {
			defer done.Done()
			if p.atOnce {
				c = p.dial(t, r)
			}
			ends[i] = p.call(c, fmt.Sprintf("%016x", 3000+i))
		})
	}
	done.Wait()
	<-r.exited
	served := 0
	for i, end := range ends {
		t.Logf("%v after SIGTERM: status %d, %d bytes, %v", time.Duration(i)*lateInterval, end.status, end.bytes, end.err)
		if end.status == http.StatusOK && end.err == nil {
			served++
			continue
		}
		require.Contains(t, []int{0, http.StatusServiceUnavailable}, end.status, r.logs())
	}
	runs := int(r.runs.Load() - before)
	t.Logf("%d passed on, %d served whole", runs, served)
	require.NotZero(t, served)
	require.Equal(t, served, runs, "requests that were passed on end whole: %s", r.logs())
}

// lateEnd is how a request ended; the status is 0 if no response came.
type lateEnd struct {
	status, bytes int
	err           error
}

func (p latePath) dial(t *testing.T, r *router) net.Conn {
	c, err := net.Dial("tcp4", r.addresses[p.listener])
	if err != nil {
		// The router has stopped listening.
		return nil
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func (p latePath) call(c net.Conn, id string) lateEnd {
	if c == nil {
		return lateEnd{err: net.ErrClosed}
	}
	head := fmt.Sprintf(p.head, id)
	method, _, _ := strings.Cut(head, " ")
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(p.body), p.body); err != nil {
		return lateEnd{err: err}
	}
	w, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return lateEnd{err: err}
	}
	defer func() { _ = w.Body.Close() }()
	body, err := io.ReadAll(w.Body)
	return lateEnd{status: w.StatusCode, bytes: len(body), err: err}
}

// startSlowPlatform starts a router on the users' platform with slow targets.
func startSlowPlatform(t *testing.T) *router {
	const slow, slowModel = "slow", "slow-model"
	runs := &atomic.Int64{}
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	for id, s := range map[string]string{"p1": service, "s1": slow, "m1": slowModel} {
		target, err := platformtest.NewTarget(id, s, s == slowModel)
		require.NoError(t, err)
		t.Cleanup(target.Close)
		target.Slots = 1000
		entry := target.Entry("ready")
		if s != service {
			e, err := newSlowTarget("127.0.0.1:0", s == slowModel, runs)
			require.NoError(t, err)
			t.Cleanup(func() { _ = e.listener.Close() })
			entry["address"] = e.listener.Addr().String()
		}
		store.PutJSON("servers", id, entry)
	}
	store.PutJSON("routers", "r2", map[string]string{"address": "127.0.0.1:9"})
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{apiKey},
		platformtest.Route{Prefix: "/once/", Kind: platformtest.NonIdempotent, Service: service, Attempts: 1, TimeoutMS: 15_000},
		platformtest.Route{Prefix: "/slow/", Kind: platformtest.NonIdempotent, Service: slow, Attempts: 1, TimeoutMS: 15_000},
		platformtest.Route{Prefix: "/slow-stream/", Kind: platformtest.Streaming, Service: slowModel, Attempts: 1, TimeoutMS: 15_000}))
	r := startPlatformAt(t, store, fmt.Sprintf("[times]\ngrace = %s\n", gracePeriod))
	r.runs = runs
	// The router reads who the other routers are some seconds after its start.
	time.Sleep(4 * time.Second)
	return r
}

// startSlowOwn starts a router for our own interface with a slow engine and a slow worker.
func startSlowOwn(t *testing.T) *router {
	dir, runs := t.TempDir(), &atomic.Int64{}
	h, err := stage.New(dir, bin, stage.WithRouters(1), stage.WithEngines(1), stage.WithWorkers(1),
		stage.WithBalancerDelay(2*time.Second), stage.WithTimesKey("drain-limit", gracePeriod.String()))
	require.NoError(t, err)
	t.Cleanup(h.Stop)
	setMemory(t, filepath.Join(dir, "r1.ini"))
	require.NoError(t, h.Start(context.Background()), h.Logs())
	for name, stream := range map[string]bool{"e1": true, "b1": false} {
		p, err := h.Process(name)
		require.NoError(t, err)
		require.NoError(t, p.Signal(syscall.SIGKILL))
		<-p.Done()
		e, err := newSlowTarget(h.Address(name), stream, runs)
		require.NoError(t, err)
		t.Cleanup(func() { _ = e.listener.Close() })
	}
	p, err := h.Process("r1")
	require.NoError(t, err)
	header := http.Header{"Authorization": {"Bearer " + stage.APIKey(workspace)}}
	return &router{
		pid: p.PID(), exited: p.Done(), logs: p.Log, runs: runs,
		addresses: map[string]string{"callers": h.Address("r1"), "operators": h.Address("r1/operators")},
		ordinary:  map[string]ordinary{"callers": {http.MethodGet, "/ledger/balances/x", header, "", ""}},
	}
}
