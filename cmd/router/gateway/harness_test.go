package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/core/logx"

	"vanillalug.example/platform"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/reception"
	"vanillalug.example/schedule"
)

const (
	testKey       = "key-1"
	plainService  = "booking"
	engineService = "models"
	// promptService has engines that cache prompts and copy them from each other.
	promptService = "prompts"
	// waitTimeout is how long a test waits for a condition.
	waitTimeout  = 5 * time.Second
	pollInterval = 5 * time.Millisecond
)

func init() { logx.Disable() }

// testRouter is one router with a fake store and targets on the loopback interface.
type testRouter struct {
	t        testing.TB
	store    *platformtest.Store
	g        *Gateway
	entry    *httptest.Server
	logs     *logBuffer
	cleanups []func()
	// stopPeerServer stops serving the calls of peers.
	stopPeerServer func()
}

// logBuffer keeps the log output of a router.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// routes returns one route of each kind that the tests use.
func routes() []platformtest.Route {
	return []platformtest.Route{
		{Prefix: "/prompt/", Kind: platformtest.Streaming, Service: promptService, Attempts: 2, TimeoutMS: 2000, Engine: true},
		{Prefix: "/safe/", Kind: platformtest.Idempotent, Service: plainService, Attempts: 2, TimeoutMS: 2000},
		{Prefix: "/once/", Kind: platformtest.NonIdempotent, Service: plainService, Attempts: 2, TimeoutMS: 2000},
		{Prefix: "/short/", Kind: platformtest.NonIdempotent, Service: plainService, Attempts: 1, TimeoutMS: 150},
		{Prefix: "/stream/", Kind: platformtest.Streaming, Service: engineService, Attempts: 2, TimeoutMS: 2000, Resumable: true},
		{Prefix: "/broken/", Kind: platformtest.Streaming, Service: engineService, Attempts: 2, TimeoutMS: 2000},
		{Prefix: "/open/", Kind: platformtest.Idempotent, Service: plainService, Attempts: 1, TimeoutMS: 2000, Public: true},
	}
}

// newTestRouter starts a router whose store has the routes and no targets.
func newTestRouter(t testing.TB) *testRouter {
	store := platformtest.NewStore()
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	return newTestRouterAt(t, store, "r1")
}

func newTestRouterAt(t testing.TB, store *platformtest.Store, name string, seeds ...netip.AddrPort) *testRouter {
	return newTestRouterWith(t, store, name, nil, seeds...)
}

func newTestRouterWith(t testing.TB, store *platformtest.Store, name string, opts []Option, seeds ...netip.AddrPort) *testRouter {
	tr := &testRouter{t: t, store: store, logs: &logBuffer{}}
	log := hclog.New(&hclog.LoggerOptions{Output: tr.logs, JSONFormat: true})
	if os.Getenv("VANILLALUG_LOG") != "" {
		log = hclog.New(&hclog.LoggerOptions{Output: os.Stderr, JSONFormat: true})
	}
	client := reception.NewClient("store", reception.WithConnectTimeout(time.Second))
	tr.g = New(Config{
		Name: name, Place: "a", PeerAddress: freeAddress(t), Seeds: seeds,
		RetryRatio: 1, RetryExtra: 1000, RetryWindow: 10 * time.Second,
	}, schedule.NewSystem(), log, platform.NewStore(platform.SharedClient(client), store.Address()),
		reception.NewClient("peers", reception.WithConnectTimeout(time.Second)), opts...)
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(t, tr.g.Run(ctx))
	tr.entry = httptest.NewServer(tr.g)
	tr.stopPeerServer = servePeers(t, tr.g)
	tr.cleanups = []func(){tr.entry.CloseClientConnections, tr.entry.Close, cancel, tr.stopPeerServer, store.Close}
	t.Cleanup(tr.close)
	return tr
}

func (tr *testRouter) close() {
	for _, cleanup := range tr.cleanups {
		cleanup()
	}
	tr.cleanups = nil
}

// servePeers serves the calls of peers at the router's own address.
func servePeers(t testing.TB, g *Gateway) (end func()) {
	l, err := net.Listen("tcp4", g.cfg.PeerAddress)
	require.NoError(t, err)
	server := &http.Server{Handler: g.PeerHandler()}
	go func() { _ = server.Serve(l) }()
	return func() { _ = server.Close() }
}

// loopbackAddresses counts the addresses that freeAddress has returned.
var loopbackAddresses atomic.Uint32

// freeAddress returns a free port of a loopback address that no other test uses: otherwise the
// port of a router that was stopped may go to one of another test, which then gets messages from
// the peers of the first one.
func freeAddress(t testing.TB) string {
	n := loopbackAddresses.Add(1)
	ip := netip.AddrFrom4([4]byte{127, 1, byte(n >> 8), byte(n)})
	l, err := net.Listen("tcp4", netip.AddrPortFrom(ip, 0).String())
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// addTargets starts and registers new targets of a service.
func (tr *testRouter) addTargets(service string, ids ...string) []*platformtest.Target {
	var out []*platformtest.Target
	for _, id := range ids {
		target, err := platformtest.NewTarget(id, service, service != plainService)
		require.NoError(tr.t, err)
		tr.t.Cleanup(target.Close)
		tr.store.PutJSON("servers", id, target.Entry("ready"))
		out = append(out, target)
	}
	return out
}

// waitReady waits until the router serves callers by a routing table and has that many targets.
func (tr *testRouter) waitReady(targets int) {
	require.Eventually(tr.t, func() bool {
		return tr.g.mayServe() && tr.g.table.Load() != nil && len(tr.g.upstreams.Load().byIncarnation) == targets
	}, waitTimeout, pollInterval)
}

// response is the response that a caller received.
type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request with an id to the router.
func (tr *testRouter) send(method, path, id string, body io.Reader, change ...func(*http.Request)) callerResponse {
	r, err := http.NewRequest(method, tr.entry.URL+path, body)
	require.NoError(tr.t, err)
	platformtest.SetCallerHeaders(r, id, testKey, 2*time.Second)
	for _, c := range change {
		c(r)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	w, err := client.Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := io.ReadAll(w.Body)
	return callerResponse{status: w.StatusCode, header: w.Header, body: string(raw), err: err}
}

func (tr *testRouter) post(path, id, body string) callerResponse {
	return tr.send(http.MethodPost, path, id, strings.NewReader(body))
}

// countExecutions counts how often the targets executed the request with an id.
func countExecutions(id string, targets []*platformtest.Target) int {
	n := 0
	for _, t := range targets {
		for _, r := range t.Executions() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

func name(prefix string, n int) string { return prefix + strconv.Itoa(n) }
