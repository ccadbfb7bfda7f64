package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"vanillalug.example"
	"vanillalug.example/capacity"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/crew"
	"vanillalug.example/defect"
	"vanillalug.example/detour"
	"vanillalug.example/edition"
	"vanillalug.example/evacuation"
	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/plan"
	"vanillalug.example/platform"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/quota"
	"vanillalug.example/schedule"
	"vanillalug.example/share"
	"vanillalug.example/where"
)

var whereStart = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

// offlineRouter is a router without a network, with a clock that stands still.
type offlineRouter struct {
	t     *testing.T
	g     *Gateway
	clock *schedule.Fake
	// revision is that of the last row that was written.
	revision uint64
}

// newOfflineRouter returns a router in one failure domain with targets in it and in another one.
func newOfflineRouter(t *testing.T) *offlineRouter {
	clock := schedule.NewFake(whereStart)
	g := New(Config{
		Name: "r1", Place: "a", PeerAddress: "127.0.0.1:1", RetryRatio: 1, RetryExtra: 10, RetryWindow: 10 * time.Second,
	}, clock, hclog.NewNullLogger(), nil, nil)
	g.evacuations.known.Store(true)
	g.logbook.SetKnown()
	o := &offlineRouter{t: t, g: g, clock: clock, revision: 10}
	table := routes()
	table[0].ColdSeconds, table[0].ColdRate = 60, 4
	raw, err := json.Marshal(platformtest.RoutingTable(1, []string{testKey}, table...))
	require.NoError(t, err)
	g.applyTable(&activeTable{raw: raw}, "test")
	o.register()
	return o
}

// register lets targets of all services join the view: two in each failure domain.
func (o *offlineRouter) register() {
	snapshot := crew.Snapshot{At: whereStart, Revision: vanillalug.NewStoreRevision(1, o.revision)}
	for _, service := range []string{plainService, engineService, promptService} {
		for i := range 4 {
			snapshot.Targets = append(snapshot.Targets, crew.NewTarget(service+strconv.Itoa(i), service,
				"10.0.0."+strconv.Itoa(i+1)+":80", crew.WithStartMillis(1), crew.WithSlots(6), crew.WithState(crew.Ready),
				crew.WithPlace([]string{"a", "b"}[i%2]), crew.WithSoftwareVersion("v"+strconv.Itoa(1+i/2)), crew.WithColdRemaining(0)))
		}
	}
	o.g.updateView(snapshot)
}

func (o *offlineRouter) key(target string) fitting.Key { return fitting.KeyOf(target + "/1") }

func (o *offlineRouter) evacuate(place string) {
	o.revision++
	revision := vanillalug.NewStoreRevision(1, o.revision)
	o.g.handleEvacuations(evacuation.Changes{At: o.clock.Now(), Revision: revision, Statements: []evacuation.Statement{
		{Place: place, Evacuated: true, Revision: revision},
	}}, sourceStore)
}

// question returns a question about a request with a prompt, as a caller with a key would send it.
func (o *offlineRouter) question(path string) where.Question {
	return where.Question{
		Method: http.MethodPost, URI: path, Host: platformtest.Host,
		Header: platform.CallerHeaders{
			ID: "a-1", APIKey: testKey, Timeout: time.Second, Model: "m", PromptTokens: 2200, OutputTokens: 100,
			LengthHint: 50, PrefixHash: "1f:1000,2e:1000,3d:200",
		}.Header(),
	}
}

func (o *offlineRouter) ask(q where.Question) where.Answer {
	a, err := o.g.Where(q)
	require.NoError(o.t, err)
	return a
}

// serve returns what the router does with the same request: the target, or the rejection.
func (o *offlineRouter) serve(q where.Question) (*upstream, *rejection) {
	t := o.g.newTransaction(nil, q.Request())
	if rejected := t.admit(); rejected != nil {
		return nil, rejected
	}
	t.tried = map[fitting.Key]bool{}
	t.lastEventID = t.req.LastEventID()
	if t.lastEventID != "" {
		t.origin = &edition.Origin{Service: t.service, SoftwareVersion: "v1"}
	}
	u, _, rejected := t.chooseUpstream()
	return u, rejected
}

// whereCases are states of a router in which requests go to different places, or are refused.
func whereCases() map[string]struct {
	path   string
	set    func(o *offlineRouter)
	change func(q *where.Question)
} {
	load := func(service string, requests, prefill, kv int) func(o *offlineRouter) {
		return func(o *offlineRouter) {
			for i := range 4 {
				o.g.loads.AddLoad(o.key(service+strconv.Itoa(i)), fitting.NewLoad(requests+i, prefill).WithKVTokens(kv))
			}
		}
	}
	both := func(sets ...func(o *offlineRouter)) func(o *offlineRouter) {
		return func(o *offlineRouter) {
			for _, set := range sets {
				set(o)
			}
		}
	}
	slow := func(o *offlineRouter) {
		o.g.serviceTimes.Observe(plainService, 400*time.Millisecond)
		o.g.serviceTimes.Observe(promptService, 4*time.Second)
	}
	type testCase = struct {
		path   string
		set    func(o *offlineRouter)
		change func(q *where.Question)
	}
	return map[string]testCase{
		"idle plain targets":    {"/safe/x", nil, nil},
		"loaded plain targets":  {"/safe/x", load(plainService, 3, 0, 0), nil},
		"prompt cached nowhere": {"/prompt/x", load(promptService, 3, 0, 9000), nil},
		"prompt cached": {"/prompt/x", both(load(promptService, 3, 0, 9000), func(o *offlineRouter) {
			key, _ := platform.ReadRequest(o.question("/prompt/x").Request()).Work().PromptKey()
			o.g.cacheIndex.RecordFromPeer(fitting.Placement{Prompt: key, Target: o.key(promptService + "2")}, o.clock.Now())
		}), nil},
		"prompt shared with nobody": {"/prompt/x", load(promptService, 1, 0, 9000), func(q *where.Question) { q.Header.Del("X-Prefix-Hash") }},
		"suspect and paused": {"/safe/x", func(o *offlineRouter) {
			o.g.upstreams.Load().byIncarnation[plainService+"0/1"].recordFailure(o.clock.Now(), connectFailureWeight)
			o.g.upstreams.Load().byIncarnation[plainService+"1/1"].pause(o.clock.Now().Add(time.Second))
		}, nil},
		"all paused": {"/safe/x", func(o *offlineRouter) {
			for _, u := range o.g.upstreams.Load().byService[plainService] {
				u.pause(o.clock.Now().Add(time.Second))
			}
		}, nil},
		"too few slots":     {"/once/x", both(load(plainService, 9, 0, 0), slow), nil},
		"too little memory": {"/prompt/x", both(load(promptService, 9, 0, 399_000), slow), nil},
		"prompts ahead": {"/prompt/x", both(load(promptService, 9, 90_000, 9000), func(o *offlineRouter) {
			o.g.prefillTimes.Observe(promptService, 1000, 30*time.Millisecond)
			o.g.prefillTimes.Observe(promptService, 4000, 240*time.Millisecond)
		}), nil},
		"far above its share": {"/safe/x", both(load(plainService, 6, 0, 0), func(o *offlineRouter) {
			o.g.serviceTimes.Observe(plainService, 60*time.Millisecond)
			o.g.overloads.Rejected(plainService, o.clock.Now().Add(-500*time.Millisecond))
			o.g.overloads.Rejected(plainService, o.clock.Now())
			o.g.usage.Record(share.KeyOf("acme"), share.KeyOf(plainService), 300, o.clock.Now())
			for i := range 9 {
				o.g.usage.Record(share.Key(i), share.KeyOf(plainService), 100, o.clock.Now())
			}
		}), nil},
		"all engines full": {"/prompt/x", load(promptService, 64, 0, 0), nil},
		"cold": {"/prompt/x", func(o *offlineRouter) {
			o.g.limits.ObserveCold(quota.ColdStatement{Target: quota.TargetKey(o.key(promptService + "0")), Remaining: time.Minute, Rate: 4}, o.clock.Now())
		}, nil},
		"no permit for a time": {"/safe/x", func(o *offlineRouter) {
			for _, u := range o.g.upstreams.Load().byService[plainService] {
				o.g.limits.Observe(u.limitKey(), quota.NewLimit(2), o.clock.Now())
				u.noPermitUntil(o.clock.Now().Add(10 * time.Millisecond))
			}
		}, nil},
		"one place evacuated": {"/safe/x", func(o *offlineRouter) { o.evacuate("a") }, nil},
		"service evacuated":   {"/safe/x", both(func(o *offlineRouter) { o.evacuate("a") }, func(o *offlineRouter) { o.evacuate("b") }), nil},
		"unknown key":         {"/safe/x", nil, func(q *where.Question) { q.Header.Del("Authorization") }},
		"no route":            {"/nowhere/x", nil, nil},
		"crashes targets": {"/prompt/x", func(o *offlineRouter) {
			part := []defect.Subject{defect.Part(fitting.PromptKey("m", 0x1f))}
			for i := range 3 {
				o.g.defects.RecordCrash(part, defect.TargetKey(o.key(promptService+strconv.Itoa(i))), o.clock.Now(), o.clock.Now())
			}
		}, nil},
		"stream goes on": {"/stream/x", func(o *offlineRouter) {
			o.g.streams.Add(edition.Record{
				Key:    edition.StreamKey(hashFields("acme", platformtest.Host, "/stream/x", "a-0")),
				Origin: edition.Origin{Service: engineService, SoftwareVersion: "v1"},
			}, o.clock.Now())
		}, func(q *where.Question) {
			q.Header.Set("Last-Event-Id", "3")
			q.Header.Set("Resumes", "a-0")
		}},
	}
}

// askable returns a router in the state of a case, and its question.
func askable(t *testing.T, path string, set func(*offlineRouter), change func(*where.Question)) (*offlineRouter, where.Question) {
	o := newOfflineRouter(t)
	if set != nil {
		set(o)
	}
	q := o.question(path)
	if change != nil {
		change(&q)
	}
	return o, q
}

// TestWhereIsWhatHappens guards against an explanation that names another target than the same request
// then gets with the same random number, or another refusal.
func TestWhereIsWhatHappens(t *testing.T) {
	seen := map[string]bool{}
	for name, tt := range whereCases() {
		t.Run(name, func(t *testing.T) {
			o, q := askable(t, tt.path, tt.set, tt.change)
			for range 10 {
				a := o.ask(q)
				seen[a.Decision.Rule], seen[a.Decision.Shortage] = true, true
				u, rejected := o.serve(q)
				if rejected != nil {
					require.Equal(t, where.Refused, a.Decision.Outcome)
					require.Equal(t, rejected.status, a.Decision.Status)
					require.Equal(t, rejected.reason, a.Decision.Rule)
					if rejected.retryAfter > 0 {
						require.Equal(t, retryAfterText(rejected.retryAfter), a.Decision.RetryAfter)
					}
					continue
				}
				require.Equal(t, where.ToTarget, a.Decision.Outcome, a.Decision.Rule)
				require.Equal(t, u.target.Incarnation(), a.Decision.Target)
				require.Equal(t, u.target.Address(), a.Decision.Address)
			}
		})
	}
	for _, reason := range []string{
		fitting.SoonestPermit.String(), fitting.DrawnByWeight.String(), fitting.DrawnNearby.String(), fitting.LeastLoaded.String(),
		fitting.LeastCost.String(), fitting.NearCache.String(), fitting.LeastLoadedOfSome.String(),
		"memory", "slots", "prefill", "share",
		"service is full", "targets want no requests", "service is evacuated", "unknown key", "no route", "the request crashes targets",
	} {
		require.True(t, seen[reason], "no case has %s", reason)
	}
}

// routerState is the state of a router that a request may change.
type routerState struct {
	ChoiceSeed         uint64
	InFlight           int64
	Loads              map[fitting.Key]fitting.Load
	Placements         []fitting.Placement
	Usage              []share.Usage
	Refusing           bool
	Overload           [3]time.Duration
	ServiceTimes       [3]time.Duration
	PrefillTimes       [3]time.Duration
	Requests           [3]int
	Speed              []capacity.Report
	Failures           []fitting.Key
	Announced          []fitting.Placement
	Counters           string
	Limits             *quota.Table
	Permits            *quota.Issuer
	Streams            *edition.Records
	Defects            *defect.Tracker
	Suspect            []bool
	PausedFor, AskIn   []time.Duration
	Digest             uint64
	UnreachableService []string
}

func (o *offlineRouter) state() routerState {
	now, g := o.clock.Now(), o.g
	s := routerState{
		ChoiceSeed: g.choiceSeed.Load(), InFlight: g.inFlight.Load(), Loads: g.loads.Own(), Placements: g.cacheIndex.Newest(100, now),
		Usage: g.usage.Own(now), Speed: g.capacity.Own(time.Minute, now), Failures: g.failureReports.Own(now),
		Refusing:  g.overloads.RejectedWithin(time.Minute, now),
		Announced: g.peers.recentPlacements(now), Counters: counters(), Limits: g.limits, Permits: g.permits, Streams: g.streams,
		Defects: g.defects, Digest: g.view.Digest(), UnreachableService: g.detours.UnreachableServices(),
	}
	for i, service := range []string{plainService, engineService, promptService} {
		s.Overload[i] = g.overloads.Duration(service, now)
		s.ServiceTimes[i] = g.serviceTimes.Mean(service)
		s.PrefillTimes[i] = g.prefillTimes.PerThousand(service)
		s.Requests[i] = g.retryBudget.Requests(service, now)
		for _, u := range g.upstreams.Load().byService[service] {
			s.Suspect = append(s.Suspect, u.suspect(now))
			s.PausedFor = append(s.PausedFor, u.pausedFor(now))
			s.AskIn = append(s.AskIn, u.permitIn(now))
		}
	}
	return s
}

// counters returns the metrics that requests change.
func counters() string {
	var b bytes.Buffer
	meter.Write(&b)
	var out []string
	for _, line := range strings.Split(b.String(), "\n") {
		for _, name := range []string{"vanillalug_refusals", "vanillalug_permits", "vanillalug_requests", "vanillalug_attempts", "vanillalug_relays", "vanillalug_streams"} {
			if strings.HasPrefix(line, name) {
				out = append(out, line)
			}
		}
	}
	return strings.Join(out, "\n")
}

// TestWhereChangesNothing guards against a question that counts as load, usage, refusal or permit, takes
// the random number of the next request, or changes the caches. The router that was asked must also decide
// about the next requests as one that was not asked does.
func TestWhereChangesNothing(t *testing.T) {
	for name, tt := range whereCases() {
		t.Run(name, func(t *testing.T) {
			asked, q := askable(t, tt.path, tt.set, tt.change)
			control, _ := askable(t, tt.path, tt.set, tt.change)
			before := control.state()
			for range 50 {
				asked.ask(q)
			}
			after := asked.state()
			require.Equal(t, before, after)
			for range 20 {
				u, rejected := asked.serve(q)
				want, wantRejected := control.serve(q)
				require.Equal(t, wantRejected, rejected)
				if want != nil {
					require.Equal(t, want.target.Incarnation(), u.target.Incarnation())
				}
			}
		})
	}
}

// TestWhereListsTargets guards against targets that an operator looks for and doesn't find, and against a
// wrong state or reason.
func TestWhereListsTargets(t *testing.T) {
	o := newOfflineRouter(t)
	now := o.clock.Now()
	plain := func(i int) string { return plainService + strconv.Itoa(i) }
	o.evacuate("b")
	o.g.updateView(crew.Leaving{At: now, Target: o.g.upstreams.Load().byIncarnation[plain(2)+"/1"].target})
	u := o.g.upstreams.Load().byIncarnation[plain(0)+"/1"]
	o.g.loads.AddLoad(u.key, fitting.NewLoad(3, 700))
	o.g.loads.SetPeer("r2", map[fitting.Key]fitting.Load{u.key: fitting.NewLoad(2, 100).WithKVTokens(400)}, now)
	o.g.limits.Observe(u.limitKey(), quota.NewLimit(2).AsBrittle(), now)
	o.g.capacity.Observe(capacity.TargetKey(u.key), capacity.Served{Took: 20 * time.Millisecond}, now.Add(-time.Second))
	a := o.ask(o.question("/safe/x"))
	require.Len(t, a.Targets, 1)
	target := a.Targets[0]
	require.Equal(t, plain(0)+"/1", target.Target)
	require.True(t, target.Chosen)
	require.Equal(t, 5, target.Requests)
	require.Equal(t, 3, target.OwnRequests)
	require.Equal(t, 800, target.PrefillTokens)
	require.Equal(t, 6, target.Slots)
	require.Equal(t, &where.Permit{PerSecond: 2, Brittle: true, Issuer: "r1"}, target.Permit)
	require.NotNil(t, target.Estimate)
	require.Equal(t, int64(1000), *target.Estimate.AgeMS)
	reasons := map[string]string{}
	for _, l := range a.LeftOut {
		reasons[l.Target] = l.Reason
	}
	require.Equal(t, map[string]string{plain(1) + "/1": "evacuated", plain(2) + "/1": "leaving", plain(3) + "/1": "evacuated"}, reasons)
	require.True(t, a.Decision.NeedsPermit)
	require.Equal(t, "acme", a.Match.Workspace)
	require.Equal(t, plainService, a.Match.Service)
	require.Equal(t, 1, a.Match.Priority)
}

// TestWhereShowsDraws guards against a choice that is shown as certain although the next request may get
// another target.
func TestWhereShowsDraws(t *testing.T) {
	o := newOfflineRouter(t)
	for i := range 4 {
		o.g.loads.AddLoad(o.key(plainService+strconv.Itoa(i)), fitting.NewLoad(4+i, 0))
	}
	q := o.question("/safe/x")
	a := o.ask(q)
	require.True(t, a.Decision.Draw)
	require.Equal(t, strconv.FormatUint(o.g.choiceSeed.Load()+1, 10), a.Decision.Random)
	total, seen := 0.0, map[string]bool{}
	for _, target := range a.Targets {
		total += target.Probability
	}
	require.InDelta(t, 1, total, 1e-9)
	for range 200 {
		u, rejected := o.serve(q)
		require.Nil(t, rejected)
		seen[u.target.Incarnation()] = true
	}
	for _, target := range a.Targets {
		require.Equal(t, target.Probability > 0, seen[target.Target], target.Target)
	}
}

// TestWhereStream guards against a stream that is said to go on at another software version, and against a
// guess where peers would have to be asked.
func TestWhereStream(t *testing.T) {
	tt := whereCases()["stream goes on"]
	o, q := askable(t, tt.path, tt.set, tt.change)
	a := o.ask(q)
	require.Equal(t, "v1", a.Match.Software)
	require.Len(t, a.Targets, 2)
	for _, l := range a.LeftOut {
		require.Equal(t, "v2", l.Software)
		require.Contains(t, l.Reason, "other software version")
	}
	require.Len(t, a.LeftOut, 2)
	q.Header.Set("Resumes", "another")
	a = o.ask(q)
	require.Equal(t, where.Unknown, a.Decision.Outcome)
	require.Contains(t, a.Decision.Rule, "no record")
}

// TestWhereRelay guards against a target that is named although the router reaches none and would send the
// request to a peer.
func TestWhereRelay(t *testing.T) {
	o := newOfflineRouter(t)
	for i := range 3 {
		o.g.detours.RecordFailure(plainService, detour.TargetKey(o.key(plainService+strconv.Itoa(i))), 4, o.clock.Now())
	}
	require.Equal(t, where.ToTarget, o.ask(o.question("/safe/x")).Decision.Outcome, "there is no peer")
	o.g.handleShare(&peer.Share{From: "r2", Place: "b", IssuesPermits: true}, netip.MustParseAddrPort("127.0.0.1:2"))
	a := o.ask(o.question("/safe/x"))
	require.Equal(t, where.ToPeer, a.Decision.Outcome)
	require.Equal(t, "r2", a.Decision.Target)
	for _, target := range a.Targets {
		require.False(t, target.Chosen)
	}
}

// TestWhereQuestion guards against an answer about another host or workspace than the operator means.
func TestWhereQuestion(t *testing.T) {
	o := newOfflineRouter(t)
	q := where.Question{Method: http.MethodGet, URI: "/safe/x", Workspace: "acme"}
	a := o.ask(q)
	require.Equal(t, platformtest.Host, a.Match.Host, "the only one with a route for the path")
	require.Equal(t, "acme", a.Match.Workspace)
	require.NotContains(t, toJSON(t, a), testKey)
	q.Workspace = "other"
	_, err := o.g.Where(q)
	var invalid *where.InvalidQuestionError
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "workspace", invalid.Parameter)
	services := []plan.WeightedService{plan.NewWeightedService("s", 1)}
	o.g.table.Store(&activeTable{table: plan.New(2, plan.WithRoutes(
		plan.NewRoute("a", "a.example", "/", plan.Idempotent, services), plan.NewRoute("b", "b.example", "/", plan.Idempotent, services)))})
	_, err = o.g.Where(where.Question{Method: http.MethodGet, URI: "/safe/x"})
	require.ErrorAs(t, err, &invalid)
	require.Equal(t, "host", invalid.Parameter)
	require.Contains(t, invalid.Problem, "a.example, b.example")
}

func toJSON(t *testing.T, v any) string {
	raw, err := json.Marshal(v)
	require.NoError(t, err)
	return string(raw)
}

// TestWhereOfRunningRouter guards against an endpoint that a running router doesn't answer, that sends
// something to a target, or that names another target than the next request gets.
func TestWhereOfRunningRouter(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1", "p2", "p3")
	tr.waitReady(len(targets))
	server := httptest.NewServer(tr.g.WhereHandler())
	defer server.Close()
	ask := func() (int, where.Answer) {
		q := where.Question{Method: http.MethodPost, URI: "/safe/x", Host: platformtest.Host}
		r, err := http.NewRequest(http.MethodGet, server.URL+where.Path+"?"+q.Values().Encode(), nil)
		require.NoError(t, err)
		r.Header = platform.CallerHeaders{ID: "a-1", APIKey: testKey, Timeout: 2 * time.Second}.Header()
		w, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		defer func() { _ = w.Body.Close() }()
		var a where.Answer
		if w.StatusCode == http.StatusOK {
			require.NoError(t, json.NewDecoder(w.Body).Decode(&a))
		}
		return w.StatusCode, a
	}
	arrived := func() int {
		return len(targets[0].Arrivals()) + len(targets[1].Arrivals()) + len(targets[2].Arrivals())
	}
	for i := range 5 {
		before := arrived()
		status, a := ask()
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, before, arrived(), "nothing is sent")
		require.Len(t, a.Targets, len(targets))
		require.Equal(t, where.ToTarget, a.Decision.Outcome)
		id := "sent" + strconv.Itoa(i)
		require.Equal(t, http.StatusOK, tr.post("/safe/x", id, "work").status)
		for _, target := range targets {
			want := 0
			if strings.HasPrefix(a.Decision.Target, target.ID+"/") {
				want = 1
			}
			require.Equal(t, want, countExecutions(id, []*platformtest.Target{target}), target.ID)
		}
	}
	refused := 0
	for range 2 * whereBurst {
		if status, _ := ask(); status == http.StatusTooManyRequests {
			refused++
		}
	}
	require.Positive(t, refused, "questions are bounded")
}
