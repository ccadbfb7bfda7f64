package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/cmd/demo/stage"
	"vanillalug.example/lugtest/crowdtest"
	"vanillalug.example/platform/platformtest"
)

const (
	// endlessCallers is how many callers wait for a faulty target at once.
	endlessCallers = 120
	// endlessRounds is how often each calls again after its connection has ended.
	endlessRounds = 3
)

// endlessPath is where callers reach a faulty target.
type endlessPath struct {
	start    func(*testing.T, endless) *router
	listener string
	head     string
}

var endlessPaths = map[string]endlessPath{
	"plain":                {startEndlessPlatform, "entry", platformtest.Head("POST", "/faulty/x", "%s", apiKey)},
	"stream":               {startEndlessPlatform, "entry", platformtest.Head("POST", "/faulty-stream/x", "%s", apiKey)},
	"own interface":        {startEndlessOwn, "callers", "POST /bookings/x HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer " + stage.APIKey(workspace) + "\r\n"},
	"own interface, chats": {startEndlessOwn, "callers", "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nContent-Type: application/json\r\nAuthorization: Bearer " + stage.APIKey(workspace) + "\r\n"},
}

const chatBody = `{"model":"small","stream":true,"messages":[{"role":"user","content":"hola"}]}`

// TestEndlessResponses guards against a faulty target that sends bytes without end, in a head or in a
// body, to many callers at once, of which half don't read: the router kept them all and ran out of
// memory.
func TestEndlessResponses(t *testing.T) {
	for name, p := range endlessPaths {
		t.Run(name, func(t *testing.T) {
			for kind, respond := range endlessResponses {
				t.Run(kind, func(t *testing.T) { p.run(t, respond) })
			}
		})
	}
}

func (p endlessPath) run(t *testing.T, respond endless) {
	r := p.start(t, respond)
	for listener := range r.ordinary {
		require.NoError(t, r.awaitAnswer(listener), "before: %s", r.logs())
	}
	done := make(chan struct{})
	defer close(done)
	for i := range endlessCallers {
		go p.call(r.addresses[p.listener], i, done)
	}
	time.Sleep(stay)
	err := r.answersAll()
	select {
	case <-r.exited:
		t.Fatalf("the process has ended: %s", r.logs())
	default:
	}
	peak, peakErr := crowdtest.PeakMemory(r.pid)
	require.NoError(t, peakErr)
	t.Logf("resident memory %d MiB at most, answer: %v", peak>>20, err)
	require.NoError(t, err)
	require.LessOrEqual(t, peak, memoryBound, "resident memory")
}

// call sends requests; every second caller doesn't read the responses.
func (p endlessPath) call(address string, n int, done <-chan struct{}) {
	for round := range endlessRounds {
		c, err := net.Dial("tcp4", address)
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		head := p.head
		if strings.Contains(head, "%s") {
			head = fmt.Sprintf(head, fmt.Sprintf("%08x%08x", n+1, round+1))
		}
		body := "x"
		if strings.Contains(head, "/v1/chat/") {
			body = chatBody
		}
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
			continue
		}
		if n%2 == 0 {
			<-done
			return
		}
		_, _ = io.Copy(io.Discard, c)
		select {
		case <-done:
			return
		default:
		}
	}
}

// startEndlessPlatform starts a router on the users' platform with sound targets and faulty ones.
func startEndlessPlatform(t *testing.T, respond endless) *router {
	const faulty, faultyModel = "faulty", "faulty-model"
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	for id, s := range map[string]string{"p1": service, "f1": faulty, "f2": faulty, "m1": faultyModel, "m2": faultyModel} {
		target, err := platformtest.NewTarget(id, s, s == faultyModel)
		require.NoError(t, err)
		t.Cleanup(target.Close)
		target.Slots = 1000
		entry := target.Entry("ready")
		if s != service {
			e, err := newEndlessTarget("127.0.0.1:0", respond)
			require.NoError(t, err)
			t.Cleanup(func() { _ = e.listener.Close() })
			entry["address"] = e.listener.Addr().String()
		}
		store.PutJSON("servers", id, entry)
	}
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{apiKey},
		platformtest.Route{Prefix: "/once/", Kind: platformtest.NonIdempotent, Service: service, Attempts: 1, TimeoutMS: 15_000},
		platformtest.Route{Prefix: "/faulty/", Kind: platformtest.Idempotent, Service: faulty, Attempts: 2, TimeoutMS: 15_000},
		platformtest.Route{Prefix: "/faulty-stream/", Kind: platformtest.Streaming, Service: faultyModel, Attempts: 2, TimeoutMS: 15_000, Resumable: true}))
	return startPlatformAt(t, store, "")
}

// startEndlessOwn starts a router for our own interface whose engine and worker of one service are
// faulty.
func startEndlessOwn(t *testing.T, respond endless) *router {
	dir := t.TempDir()
	h, err := stage.New(dir, bin, stage.WithRouters(1), stage.WithEngines(1), stage.WithWorkers(1))
	require.NoError(t, err)
	t.Cleanup(h.Stop)
	setMemory(t, filepath.Join(dir, "r1.ini"))
	require.NoError(t, h.Start(context.Background()), h.Logs())
	for _, name := range []string{"e1", "b1"} {
		p, err := h.Process(name)
		require.NoError(t, err)
		require.NoError(t, p.Signal(syscall.SIGKILL))
		<-p.Done()
		e, err := newEndlessTarget(h.Address(name), respond)
		require.NoError(t, err)
		t.Cleanup(func() { _ = e.listener.Close() })
	}
	p, err := h.Process("r1")
	require.NoError(t, err)
	header := http.Header{"Authorization": {"Bearer " + stage.APIKey(workspace)}}
	return &router{
		pid: p.PID(), exited: p.Done(), logs: p.Log,
		addresses: map[string]string{"callers": h.Address("r1"), "operators": h.Address("r1/operators")},
		ordinary: map[string]ordinary{
			"callers":   {http.MethodGet, "/ledger/balances/x", header, "", ""},
			"operators": {method: http.MethodGet, path: "/metrics"},
		},
	}
}
