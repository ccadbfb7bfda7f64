package office

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/core/logx"

	"vanillalug.example"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/dispatch"
	"vanillalug.example/ledger"
	"vanillalug.example/peer"
	"vanillalug.example/reception"
	"vanillalug.example/register"
	"vanillalug.example/schedule"
)

func init() { logx.Disable() }

// recordingEngine records the requests to engines by address. Streams wait for release.
type recordingEngine struct {
	mu      sync.Mutex
	starts  map[string]int
	resumes map[string]int
	release chan struct{}
	// broken are the addresses whose streams end before the response.
	broken map[string]bool
}

func newRecordingEngine() *recordingEngine {
	return &recordingEngine{
		starts: map[string]int{}, resumes: map[string]int{}, release: make(chan struct{}), broken: map[string]bool{},
	}
}

func (e *recordingEngine) Start(_ context.Context, address string, q courier.ChatCall) (courier.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts[address]++
	return &oneEventStream{request: q.Request, release: e.release, broken: e.broken[address]}, nil
}

func (e *recordingEngine) Resume(_ context.Context, address, _ string, _ int) (courier.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumes[address]++
	return nil, io.EOF
}

func (e *recordingEngine) Cancel(context.Context, string, string) error { return nil }

func (e *recordingEngine) Report(context.Context, string) (courier.Report, error) {
	return courier.Report{Slots: 1}, nil
}

func (e *recordingEngine) CacheEvents(context.Context, string, uint64) (courier.CacheEvents, error) {
	return courier.CacheEvents{}, nil
}

func (e *recordingEngine) CachedChats(context.Context, string) (courier.CachedChats, error) {
	return courier.CachedChats{}, nil
}

func (e *recordingEngine) resumesAt(address string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resumes[address]
}

func (e *recordingEngine) startsAt(address string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts[address]
}

// oneEventStream is a response of one event, which comes after the release.
type oneEventStream struct {
	request string
	release chan struct{}
	broken  bool
	ended   bool
}

func (s *oneEventStream) Next() (courier.Event, error) {
	<-s.release
	if s.broken || s.ended {
		return courier.Event{}, io.EOF
	}
	s.ended = true
	return courier.Event{Request: s.request, End: true}, nil
}

func (s *oneEventStream) Close() {}

// discardSink reports the events of a response.
type discardSink struct {
	queued   chan struct{}
	admitted chan string
}

func newDiscardSink() *discardSink {
	return &discardSink{queued: make(chan struct{}, 8), admitted: make(chan string, 8)}
}

func (s *discardSink) Queued()                             { s.queued <- struct{}{} }
func (s *discardSink) Admitted(e string, _ time.Duration)  { s.admitted <- e }
func (s *discardSink) WriteChunk(_ Chunk, more bool) error { return nil }

// Addresses of the engines of the test document.
const (
	firstEngine  = "127.0.0.1:9001"
	secondEngine = "127.0.0.1:9002"
)

// evacuationFleet is a router with an engine and a target in each of two places.
type evacuationFleet struct {
	*Router
	t       *testing.T
	engines *recordingEngine
	table   *fakeTable
	log     *bytes.Buffer
	logMu   *sync.Mutex
	calls   map[string]*atomic.Int64
	// onCall is called for each call that reaches a target.
	onCall  func()
	text    string
	version uint64
}

// lockedWriter serializes the log lines of several goroutines.
type lockedWriter struct {
	mu *sync.Mutex
	w  io.Writer
}

func (l lockedWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.w.Write(p)
}

func newEvacuationFleet(t *testing.T, opts ...func(*evacuationFleet, *Dependencies)) *evacuationFleet {
	f := &evacuationFleet{
		t: t, engines: newRecordingEngine(), table: newFakeTable(),
		log: &bytes.Buffer{}, logMu: &sync.Mutex{}, calls: map[string]*atomic.Int64{},
		onCall: func() {},
	}
	f.text = fmt.Sprintf(`[fleet]
name = duchas
rules-level = 3
[place near]
region = r
[place far]
region = r
[class c]
queue-deadline = 10s
[service bookings]
outcomes = /outcomes/{key}
[call crews]
service = bookings
method = GET
path = /crews/**
repeatable = yes
[engine e1]
place = near
address = %s
models = small, first
slots = 1
[engine e2]
place = far
address = %s
models = small
slots = 1
[target t1]
service = bookings
place = near
address = %s
[target t2]
service = bookings
place = far
address = %s
[workspace w]
key-sha256 = %s
class = c
`, firstEngine, secondEngine, f.startTarget("t1"), f.startTarget("t2"), vanillalug.KeyDigest("w"))
	log := hclog.New(&hclog.LoggerOptions{Output: lockedWriter{mu: f.logMu, w: f.log}})
	deps := Dependencies{
		Clock: schedule.NewSystem(), Log: log, Engines: f.engines, Table: f.table,
		Calls: courier.NewHTTPService(reception.NewClient("pooled"),
			reception.NewClient("unpooled", reception.WithoutConnectionReuse()), reception.NewClient("reports")),
	}
	for _, opt := range opts {
		opt(f, &deps)
	}
	f.Router = New(Identity{Name: "r1", Place: "near", Levels: vanillalug.SupportedLevels()}, deps)
	f.activate()
	return f
}

// startTarget starts a target that counts the calls to it.
func (f *evacuationFleet) startTarget(name string) string {
	n := &atomic.Int64{}
	f.calls[name] = n
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/report" {
			n.Add(1)
			f.onCall()
		}
		_, _ = io.WriteString(w, "{}")
	}))
	f.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// activate makes the document active in which just the given places are evacuated.
func (f *evacuationFleet) activate(evacuated ...string) {
	text := f.text
	for _, place := range evacuated {
		text = strings.Replace(text, "[place "+place+"]\n", "[place "+place+"]\nevacuated = yes\n", 1)
	}
	fleet, err := vanillalug.ReadFleet("fleet.ini", []byte(text))
	require.NoError(f.t, err)
	f.version++
	head := register.NewHead(f.version, fleet.Digest(), "p")
	f.applyRegister(f.register.Handle(register.Fetched{Head: head, Text: fleet.Canonical()}))
	require.Equal(f.t, f.version, f.register.Head().Version())
}

func (f *evacuationFleet) relayed(id string) courier.RelayRequest {
	return courier.RelayRequest{
		Request: id, From: "r1", Workspace: "w", Class: "c", Model: "small", Engine: "e1",
		Chat: vanillalug.NewChatKey("w", id).String(), NoRedirect: true, Last: true, Version: f.version,
	}
}

func (f *evacuationFleet) chat(model, id string) *vanillalug.Problem {
	w, _ := f.Fleet().Workspace("w")
	q := ChatRequest{Workspace: w, Class: "c", Model: model, Key: vanillalug.NewChatKey("w", id), Version: f.version}
	return f.ServeChat(f.t.Context(), q, newDiscardSink())
}

func (f *evacuationFleet) call(method, path string) (Response, *vanillalug.Problem) {
	w, _ := f.Fleet().Workspace("w")
	s, _ := f.Fleet().Service("bookings")
	return f.ServeCall(f.t.Context(), Call{Workspace: w, Service: s, Method: method, Path: path, IdempotencyKey: path})
}

// TestEvacuatedPlaceGetsNoNewRequests guards against each way in which a request could
// reach an engine or target of a place that the active document says is evacuated.
func TestEvacuatedPlaceGetsNoNewRequests(t *testing.T) {
	tests := map[string]func(*testing.T, *evacuationFleet){
		"a first attempt is placed there": func(t *testing.T, f *evacuationFleet) {
			close(f.engines.release)
			f.activate("near")
			for i := range 20 {
				require.Nil(t, f.chat("small", fmt.Sprint(i)))
			}
			require.Equal(t, 20, f.engines.startsAt(secondEngine))
		},
		"a retry goes there": func(t *testing.T, f *evacuationFleet) {
			close(f.engines.release)
			f.engines.broken[secondEngine] = true
			f.activate("near")
			require.Equal(t, vanillalug.RunUnknown, f.chat("small", "c1").RunState())
			require.Positive(t, f.engines.startsAt(secondEngine))
		},
		"a relayed request is admitted there": func(t *testing.T, f *evacuationFleet) {
			f.activate("near")
			require.Equal(t, EngineUnavailable{Reason: reasonEvacuated}, f.Admit(t.Context(), f.relayed("q1"), newDiscardSink()))
		},
		"a response is resumed there": func(t *testing.T, f *evacuationFleet) {
			f.activate("near")
			q := f.relayed("q1")
			q.Resume = true
			require.Equal(t, Interrupted{Reason: reasonEvacuated}, f.Admit(t.Context(), q, newDiscardSink()))
		},
		"a broken stream is opened again there": func(t *testing.T, f *evacuationFleet) {
			f.activate("near")
			e, _ := f.Fleet().Engine("e1")
			require.Nil(t, f.reopen(t.Context(), e, "q1", 3, nil))
		},
		"calls of a service go there": func(t *testing.T, f *evacuationFleet) {
			f.activate("near")
			for i := range 20 {
				_, p := f.call(http.MethodGet, fmt.Sprintf("/crews/%d", i))
				require.Nil(t, p)
				_, p = f.call(http.MethodPost, fmt.Sprintf("/deposits/%d", i))
				require.Nil(t, p)
			}
			require.Equal(t, int64(40), f.calls["t2"].Load())
		},
		"the outcome of an earlier call is queried there": func(t *testing.T, f *evacuationFleet) {
			f.activate("near")
			c := claimAt(f, "t1")
			n := &nonIdempotentCall{router: f.Router, call: Call{Service: serviceOf(f)}}
			require.Equal(t, ledger.OutcomeUnknown{}, n.queryOutcome(c))
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			f := newEvacuationFleet(t)
			run(t, f)
			require.Zero(t, f.engines.startsAt(firstEngine))
			require.Zero(t, f.engines.resumesAt(firstEngine))
			require.Zero(t, f.calls["t1"].Load())
		})
	}
}

// TestCallClaimedBeforeEvacuation guards against a call that is sent to a target whose
// place was evacuated while the claim was being written. It has not run.
func TestCallClaimedBeforeEvacuation(t *testing.T) {
	f := newEvacuationFleet(t)
	f.activate("far")
	f.table.wait = make(chan struct{})
	problems := make(chan *vanillalug.Problem, 1)
	go func() {
		_, p := f.call(http.MethodPost, "/deposits/1")
		problems <- p
	}()
	require.Eventually(t, func() bool { return f.table.received.Load() > 0 }, 5*time.Second, time.Millisecond)
	f.activate("near", "far")
	close(f.table.wait)
	p := <-problems
	require.Equal(t, http.StatusServiceUnavailable, p.Status())
	require.Equal(t, vanillalug.NotRun, p.RunState())
	require.Positive(t, p.RetryAfter())
	require.Zero(t, f.calls["t1"].Load())
	require.Zero(t, f.calls["t2"].Load())
}

// TestRetryAfterEvacuation guards against a refusal that says a call has not run, although
// an attempt at a target whose place was evacuated after it may have.
func TestRetryAfterEvacuation(t *testing.T) {
	f := newEvacuationFleet(t)
	f.activate("near")
	f.onCall = func() {
		f.activate("near", "far")
		panic(http.ErrAbortHandler)
	}
	for range 20 {
		f.budget.Deposit("w", 1)
	}
	_, p := f.call(http.MethodGet, "/crews/1")
	require.Equal(t, http.StatusBadGateway, p.Status())
	require.Equal(t, vanillalug.RunUnknown, p.RunState())
	require.Equal(t, int64(1), f.calls["t2"].Load())
	require.Zero(t, f.calls["t1"].Load())
}

// lateEngine sends requests to a server of its own, after a function was called.
type lateEngine struct {
	*recordingEngine
	http    *courier.HTTPEngine
	address string
	before  func()
}

func (e *lateEngine) Start(ctx context.Context, _ string, q courier.ChatCall) (courier.Stream, error) {
	e.before()
	return e.http.Start(ctx, e.address, q)
}

// lateService calls a function before it sends a call.
type lateService struct {
	courier.Service
	before func()
}

func (s *lateService) Call(ctx context.Context, address string, c courier.ServiceCall) (courier.ServiceResponse, error) {
	s.before()
	return s.Service.Call(ctx, address, c)
}

// evacuateWhileConnecting evacuates all places when a request is about to be sent.
func evacuateWhileConnecting(f *evacuationFleet, deps *Dependencies) {
	evacuate := func() { f.activate("near", "far") }
	client := reception.NewClient("late", courier.EngineConnections())
	deps.Engines = &lateEngine{
		recordingEngine: f.engines, http: courier.NewHTTPEngine(client, nil, nil, time.Second, time.Second),
		address: f.startTarget("e1"), before: evacuate,
	}
	deps.Calls = &lateService{Service: deps.Calls, before: evacuate}
}

// TestEvacuatedWhileConnecting guards against a request that is sent because the place was
// evacuated only while its connection was being opened. It has not run.
func TestEvacuatedWhileConnecting(t *testing.T) {
	tests := map[string]func(*testing.T, *evacuationFleet){
		"chat": func(t *testing.T, f *evacuationFleet) {
			result := f.Admit(t.Context(), f.relayed("q1"), newDiscardSink())
			require.Equal(t, EngineUnavailable{Reason: reasonEvacuated}, result)
			require.Equal(t, dispatch.Up, f.condition("e1"))
		},
		"retryable call": func(t *testing.T, f *evacuationFleet) {
			f.budget.Deposit("w", 1)
			_, p := f.call(http.MethodGet, "/crews/1")
			require.Equal(t, "evacuated", p.Code())
		},
		"call that runs once": func(t *testing.T, f *evacuationFleet) {
			_, p := f.call(http.MethodPost, "/deposits/1")
			require.Equal(t, http.StatusServiceUnavailable, p.Status())
			require.Equal(t, vanillalug.NotRun, p.RunState())
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			f := newEvacuationFleet(t, evacuateWhileConnecting)
			run(t, f)
			for name, n := range f.calls {
				require.Zero(t, n.Load(), name)
			}
		})
	}
}

// TestQueuedAtEvacuatedEngine guards against a desk that goes on to admit requests that
// were queued before the evacuation, and against one that stays closed after the return.
// The request that runs completes.
func TestQueuedAtEvacuatedEngine(t *testing.T) {
	f := newEvacuationFleet(t)
	running, queued := newDiscardSink(), newDiscardSink()
	results := make(chan Result, 2)
	go func() { results <- f.Admit(t.Context(), f.relayed("q1"), running) }()
	require.Equal(t, "e1", <-running.admitted)
	require.Eventually(t, func() bool { return f.engines.startsAt(firstEngine) == 1 }, 5*time.Second, time.Millisecond)
	go func() { results <- f.Admit(t.Context(), f.relayed("q2"), queued) }()
	<-queued.queued
	f.activate("near")
	require.IsType(t, EngineUnavailable{}, <-results)
	require.Equal(t, 1, f.engines.startsAt(firstEngine))
	require.Equal(t, uint32(1), f.Status().GetEvacuations().GetPlaces()[0].GetInFlight())
	close(f.engines.release)
	require.Equal(t, Completed{}, <-results)
	require.Zero(t, f.Status().GetEvacuations().GetPlaces()[0].GetInFlight())
	f.activate()
	require.Equal(t, Completed{}, f.Admit(t.Context(), f.relayed("q3"), newDiscardSink()))
	require.Equal(t, 2, f.engines.startsAt(firstEngine))
}

// TestAdmittedAfterEvacuation guards against a request that its desk admits just when the
// document becomes active: the desk is not closed yet, the document is active.
func TestAdmittedAfterEvacuation(t *testing.T) {
	f := newEvacuationFleet(t)
	e, _ := f.Fleet().Engine("e1")
	es := f.engineState(t.Context(), e)
	before := f.Fleet()
	f.activate("near")
	es.evacuated = true
	es.setEvacuated(false, 1)
	q := f.relayed("q1")
	chat, err := vanillalug.ParseChatKey(q.Chat)
	require.NoError(t, err)
	result := f.queue(t.Context(), before, es, e, q, chat, false, newDiscardSink())
	require.Equal(t, EngineUnavailable{Reason: reasonEvacuated}, result)
	require.Zero(t, f.engines.startsAt(firstEngine))
	require.True(t, es.admission.Idle())
}

// TestCachedChatsAreKept guards against an evacuation that makes routers forget where
// chats are cached: an entry that names an evacuated engine is not followed, and is still
// there after the return.
func TestCachedChatsAreKept(t *testing.T) {
	f := newEvacuationFleet(t)
	e, _ := f.Fleet().Engine("e2")
	es := f.engineState(t.Context(), e)
	chat := vanillalug.NewChatKey("w", "c1")
	es.cacheIndex.Handle(dispatch.Spilled{Chat: chat, Engine: "e1"})
	q := courier.RelayRequest{Model: "small", Engine: "e2", Returning: true}
	redirect := Redirected{Engine: "e1"}
	result, _ := f.lookUpCache(f.Fleet(), es, q, chat)
	require.Equal(t, redirect, result)
	f.activate("near")
	result, cached := f.lookUpCache(f.Fleet(), es, q, chat)
	require.Nil(t, result)
	require.False(t, cached)
	f.activate()
	result, _ = f.lookUpCache(f.Fleet(), es, q, chat)
	require.Equal(t, redirect, result)
}

// TestEvacuatedLoad guards against engines of evacuated places that count in the pool of
// the others, which would then be allowed less, or that requests are spilled to.
func TestEvacuatedLoad(t *testing.T) {
	f := newEvacuationFleet(t)
	e, _ := f.Fleet().Engine("e2")
	q := courier.RelayRequest{Others: []string{"e1"}}
	require.Len(t, f.alternatives(f.Fleet(), q), 1)
	both := f.pool(f.Fleet(), e)
	f.activate("near")
	require.Empty(t, f.alternatives(f.Fleet(), q))
	require.NotEqual(t, both, f.pool(f.Fleet(), e))
}

// TestEverythingEvacuated guards against refusals that hide the reason, that count as
// faults of ours or of the caller, or that come after an attempt.
func TestEverythingEvacuated(t *testing.T) {
	tests := map[string]struct {
		evacuated []string
		request   func(*evacuationFleet) *vanillalug.Problem
		code      string
		detail    string
	}{
		"model with its engines in evacuated places": {
			[]string{"near"},
			func(f *evacuationFleet) *vanillalug.Problem { return f.chat("first", "c1") },
			"evacuated", `model "first" is evacuated`,
		},
		"all places": {
			[]string{"near", "far"},
			func(f *evacuationFleet) *vanillalug.Problem { return f.chat("small", "c1") },
			"evacuated", `model "small" is evacuated`,
		},
		"retryable call": {
			[]string{"near", "far"}, func(f *evacuationFleet) *vanillalug.Problem {
				_, p := f.call(http.MethodGet, "/crews/1")
				return p
			}, "evacuated", "service bookings is evacuated",
		},
		"call that runs once": {
			[]string{"near", "far"}, func(f *evacuationFleet) *vanillalug.Problem {
				_, p := f.call(http.MethodPost, "/deposits/1")
				return p
			}, "evacuated", "service bookings is evacuated",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newEvacuationFleet(t)
			f.activate(tt.evacuated...)
			p := tt.request(f)
			require.Equal(t, http.StatusServiceUnavailable, p.Status())
			require.Equal(t, tt.code, p.Code())
			require.Contains(t, p.Detail(), tt.detail)
			require.Equal(t, vanillalug.NotRun, p.RunState())
			require.GreaterOrEqual(t, p.RetryAfter(), retryAfter)
			require.Zero(t, f.table.received.Load())
		})
	}
}

// TestEvacuationIsReported guards against changes that operators don't see: one log line
// for each, the metrics, and the status, which says since when only if it is known.
func TestEvacuationIsReported(t *testing.T) {
	f := newEvacuationFleet(t)
	require.Empty(t, f.Status().GetEvacuations().GetPlaces())
	require.NotNil(t, f.Status().GetEvacuations())
	f.activate("near")
	f.PollTargets(f.clock.Now())
	require.Equal(t, []string{"near"}, placesOf(f.Status().GetEvacuations()))
	require.NotNil(t, f.Status().GetEvacuations().GetPlaces()[0].EvacuatedMs)
	require.Contains(t, metrics(), "vanillalug_evacuated_places 1\n")
	require.Contains(t, metrics(), `vanillalug_evacuation_in_flight{place="near"} 0`)
	f.activate()
	require.Empty(t, f.Status().GetEvacuations().GetPlaces())
	require.Contains(t, metrics(), "vanillalug_evacuated_places 0\n")
	f.logMu.Lock()
	defer f.logMu.Unlock()
	require.Equal(t, 1, strings.Count(f.log.String(), "failure domain is evacuated: place=near version=2 in-flight=0"))
	require.Equal(t, 1, strings.Count(f.log.String(), "failure domain is taken back: place=near version=3 in-flight=0"))
}

// TestEvacuatedBeforeStart guards against a router that states the time of its own start
// as that of the evacuation.
func TestEvacuatedBeforeStart(t *testing.T) {
	f := newEvacuationFleet(t)
	f.evacuations.anyKnown = false
	f.activate("near")
	require.Equal(t, []string{"near"}, placesOf(f.Status().GetEvacuations()))
	require.Nil(t, f.Status().GetEvacuations().GetPlaces()[0].EvacuatedMs)
}

// TestActivationsOutOfOrder guards against a desk that stays closed because two versions
// become active one after the other and are carried out in reverse order.
func TestActivationsOutOfOrder(t *testing.T) {
	f := newEvacuationFleet(t)
	close(f.engines.release)
	f.activate("near")
	late := register.Activated{Head: f.register.Head(), Fleet: f.Fleet()}
	f.activate()
	f.handleActivated(late)
	require.Equal(t, Completed{}, f.Admit(t.Context(), f.relayed("q1"), newDiscardSink()))
}

func placesOf(e *peer.Evacuations) []string {
	var out []string
	for _, p := range e.GetPlaces() {
		out = append(out, p.GetPlace())
	}
	return out
}

func metrics() string {
	var b bytes.Buffer
	meter.Write(&b)
	return b.String()
}

func serviceOf(f *evacuationFleet) vanillalug.Service {
	s, _ := f.Fleet().Service("bookings")
	return s
}

func claimAt(f *evacuationFleet, target string) ledger.Claim {
	return ledger.NewClaim("w", "bookings", "k1", ledger.WithRouter(f.name, target))
}
