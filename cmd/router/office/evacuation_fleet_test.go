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
