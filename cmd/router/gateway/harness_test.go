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
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/core/logx"

	"vanillalug.example/peer"
	"vanillalug.example/platform"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/reception"
	"vanillalug.example/schedule"
)

const (
	testKey = "key-1"
	plain   = "booking"
	engines = "models"
	// prompts are engines that keep and copy what they have read.
	prompts = "prompts"
	// soon is how long a test waits for what should be there in a moment.
	soon = 5 * time.Second
	tick = 5 * time.Millisecond
)

func init() { logx.Disable() }

// station is one router with a store and targets, all on the loopback interface.
type station struct {
	t     testing.TB
	store *platformtest.Store
	g     *Gateway
	entry *httptest.Server
	lines *lines
	ends  []func()
}

// lines keeps what a router logs.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// routes are one route of each kind that the tests use.
func routes() []platformtest.Route {
	return []platformtest.Route{
		{Prefix: "/prompt/", Kind: platformtest.Streaming, Service: prompts, Attempts: 2, TimeoutMS: 2000, Engine: true},
		{Prefix: "/safe/", Kind: platformtest.Idempotent, Service: plain, Attempts: 2, TimeoutMS: 2000},
		{Prefix: "/once/", Kind: platformtest.NonIdempotent, Service: plain, Attempts: 2, TimeoutMS: 2000},
		{Prefix: "/short/", Kind: platformtest.NonIdempotent, Service: plain, Attempts: 1, TimeoutMS: 150},
		{Prefix: "/stream/", Kind: platformtest.Streaming, Service: engines, Attempts: 2, TimeoutMS: 2000, Resumable: true},
		{Prefix: "/broken/", Kind: platformtest.Streaming, Service: engines, Attempts: 2, TimeoutMS: 2000},
		{Prefix: "/open/", Kind: platformtest.Idempotent, Service: plain, Attempts: 1, TimeoutMS: 2000, Public: true},
	}
}

// newStation starts a router whose store has the routes and no targets.
func newStation(t testing.TB) *station {
	store := platformtest.NewStore()
	store.PutJSON("op", "config", platformtest.Plan(1, []string{testKey}, routes()...))
	return newStationAt(t, store, "r1")
}

func newStationAt(t testing.TB, store *platformtest.Store, name string, seeds ...netip.AddrPort) *station {
	s := &station{t: t, store: store, lines: &lines{}}
	log := hclog.New(&hclog.LoggerOptions{Output: s.lines, JSONFormat: true})
	if os.Getenv("VANILLALUG_LOG") != "" {
		log = hclog.New(&hclog.LoggerOptions{Output: os.Stderr, JSONFormat: true})
	}
	client := reception.NewClient("store", reception.WithConnectTimeout(time.Second))
	s.g = New(Config{
		Name: name, Place: "a", PeerAddress: freeAddress(t), Seeds: seeds,
		RetryRatio: 1, RetryExtra: 1000, RetryWindow: 10 * time.Second, Grace: time.Second,
	}, schedule.NewSystem(), log, platform.NewStore(client, store.Address()),
		reception.NewClient("peers", reception.WithConnectTimeout(time.Second)))
	ctx, cancel := context.WithCancel(context.Background())
	require.NoError(t, s.g.Run(ctx))
	s.entry = httptest.NewServer(s.g)
	peers := servePeers(t, s.g)
	s.ends = []func(){s.entry.CloseClientConnections, s.entry.Close, cancel, peers, store.Close}
	t.Cleanup(s.close)
	return s
}

func (s *station) close() {
	for _, end := range s.ends {
		end()
	}
	s.ends = nil
}

// servePeers answers the calls of peers at the router's own address.
func servePeers(t testing.TB, g *Gateway) (end func()) {
	l, err := net.Listen("tcp4", g.cfg.PeerAddress)
	require.NoError(t, err)
	server := &http.Server{Handler: peer.NewBeliefsServer(g)}
	go func() { _ = server.Serve(l) }()
	return func() { _ = server.Close() }
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// add registers new targets of a service.
func (s *station) add(service string, ids ...string) []*platformtest.Target {
	var out []*platformtest.Target
	for _, id := range ids {
		target, err := platformtest.NewTarget(id, service, service != plain)
		require.NoError(s.t, err)
		s.t.Cleanup(target.Close)
		s.store.PutJSON("servers", id, target.Entry("ready"))
		out = append(out, target)
	}
	return out
}

// ready waits until the router knows a plan and so many targets.
func (s *station) ready(targets int) {
	require.Eventually(s.t, func() bool {
		return s.g.plan.Load() != nil && len(s.g.targets.Load().byLifetime) == targets
	}, soon, tick)
}

// got is what a caller got.
type got struct {
	status int
	header http.Header
	body   string
	err    error
}

// ask sends a request with an id to the router.
func (s *station) ask(method, path, id string, body io.Reader, change ...func(*http.Request)) got {
	r, err := http.NewRequest(method, s.entry.URL+path, body)
	require.NoError(s.t, err)
	platformtest.SetCallerHeaders(r, id, testKey, 2*time.Second)
	for _, c := range change {
		c(r)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	w, err := client.Do(r)
	if err != nil {
		return got{err: err}
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := io.ReadAll(w.Body)
	return got{status: w.StatusCode, header: w.Header, body: string(raw), err: err}
}

func (s *station) post(path, id, body string) got {
	return s.ask(http.MethodPost, path, id, strings.NewReader(body))
}

// runsOf counts the runs of an id at the targets.
func runsOf(id string, targets []*platformtest.Target) int {
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
