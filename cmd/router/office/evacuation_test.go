package office

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/dispatch"
	"vanillalug.example/ledger"
	"vanillalug.example/peer"
	"vanillalug.example/reception"
	"vanillalug.example/register"
)

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
