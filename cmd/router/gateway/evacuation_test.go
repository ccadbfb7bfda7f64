package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/evacuation"
	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/quota"
)

// addTargetsAt starts and registers targets of a service in a failure domain.
func (tr *testRouter) addTargetsAt(place, service string, ids ...string) []*platformtest.Target {
	out := tr.addTargets(service, ids...)
	for _, target := range out {
		tr.register(target, place)
		require.Eventually(tr.t, func() bool { return tr.place(target.ID) == place }, waitTimeout, pollInterval)
	}
	return out
}

// register writes the entry of a target that was started again in a failure domain.
func (tr *testRouter) register(target *platformtest.Target, place string) {
	target.Place = place
	target.StartMillis++
	tr.store.PutJSON("servers", target.ID, target.Entry("ready"))
}

func (tr *testRouter) waitEvacuated(place string, evacuated bool) {
	tr.t.Helper()
	require.Eventually(tr.t, func() bool {
		places := tr.g.evacuations.places.Load()
		return tr.g.evacuations.has(place) == evacuated && (places != nil || !evacuated)
	}, waitTimeout, pollInterval, "%s at %s", place, tr.g.cfg.Name)
}

// evacuate writes the row of a failure domain, and waits until the router knows it.
func (tr *testRouter) evacuate(place string) {
	tr.t.Helper()
	tr.store.Put("op", "evacuate/"+place, []byte("{}"))
	tr.waitEvacuated(place, true)
}

func arrivals(targets []*platformtest.Target) int {
	n := 0
	for _, target := range targets {
		n += len(target.Arrivals())
	}
	return n
}

// newEvacuationFleet returns routers whose services have targets in the failure domains a and b.
func newEvacuationFleet(t *testing.T, routers int) (f *partitionTestFleet, inA, inB []*platformtest.Target) {
	f = newPartitionTestFleet(t, routers)
	for i, target := range f.targets {
		place := []string{"a", "b"}[i%2]
		f.routers[0].register(target, place)
		if place == "a" {
			inA = append(inA, target)
		} else {
			inB = append(inB, target)
		}
	}
	for _, tr := range f.routers {
		require.Eventually(t, func() bool {
			places := map[string]int{}
			for _, u := range tr.g.upstreams.Load().byIncarnation {
				if u.target.StartMillis() > 1 {
					places[u.target.Place()]++
				}
			}
			return places["a"] == len(inA) && places["b"] == len(inB)
		}, waitTimeout, pollInterval)
	}
	return f, inA, inB
}

// TestEvacuation guards against requests, retries, resumed streams and relays that reach an
// evacuated failure domain, against losing requests while others have targets, and against a
// domain that isn't used after it is taken back.
func TestEvacuation(t *testing.T) {
	tests := map[string]struct {
		path string
		// behaviour is that of every second request at the targets that stay in use.
		behaviour platformtest.Behaviour
		cut       bool
	}{
		"idempotent":      {path: "/safe/x", behaviour: platformtest.Serve},
		"non-idempotent":  {path: "/once/x", behaviour: platformtest.Serve},
		"retries":         {path: "/safe/x", behaviour: platformtest.Shed},
		"resumed streams": {path: "/stream/x", behaviour: platformtest.TruncateSecond},
		"relays":          {path: "/once/x", behaviour: platformtest.Serve, cut: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, inA, inB := newEvacuationFleet(t, 3)
			if tt.cut {
				f.cut(resetting, 1)
				f.waitRelaying(t, tt.path, plainService, 1)
			}
			var calls sync.WaitGroup
			calls.Go(func() { f.play(tt.path, "before", 3, 300*time.Millisecond) })
			time.Sleep(100 * time.Millisecond)
			f.store.Put("op", "evacuate/a", []byte("{}"))
			for _, tr := range f.routers {
				tr.waitEvacuated("a", true)
			}
			time.Sleep(20 * time.Millisecond)
			reached := arrivals(inA)
			calls.Wait()
			for _, target := range inB {
				for range 20 {
					target.Enqueue(tt.behaviour, platformtest.Serve)
				}
			}
			served, sent := f.play(tt.path, "then", 3, 500*time.Millisecond)
			require.Equal(t, reached, arrivals(inA), "requests reach the evacuated domain")
			if tt.behaviour == platformtest.Serve {
				require.Equal(t, sent, served)
			}
			f.store.Delete("op", "evacuate/a")
			for _, tr := range f.routers {
				tr.waitEvacuated("a", false)
			}
			f.play(tt.path, "after", 3, 300*time.Millisecond)
			require.Greater(t, arrivals(inA), reached, "the domain is not used again")
			logs := f.routers[0].logs.String()
			require.Equal(t, 1, strings.Count(logs, "failure domain is evacuated"))
			require.Equal(t, 1, strings.Count(logs, "failure domain is taken back"))
		})
	}
}

// TestRunningRequestsFinish guards against an evacuation that breaks off requests that run.
func TestRunningRequestsFinish(t *testing.T) {
	tr := newTestRouter(t)
	target := tr.addTargetsAt("a", engineService, "e1")[0]
	tr.waitReady(1)
	target.SetDefault(platformtest.SlowStream)
	done := make(chan callerResponse)
	go func() { done <- tr.post("/stream/x", "id", "work") }()
	require.Eventually(t, func() bool { return countExecutions("id", []*platformtest.Target{target}) == 1 }, waitTimeout, pollInterval)
	tr.evacuate("a")
	require.Equal(t, map[string]int{"a": 1}, tr.g.evacuatedInFlight())
	w := <-done
	require.NoError(t, w.err)
	require.Equal(t, platformtest.Stream(), w.body)
	require.Contains(t, tr.logs.String(), `"in-flight":1`)
}

// TestEvacuatedWhileWaiting guards against a request that was chosen for a target before its
// domain was evacuated, and is sent when its connection is there.
func TestEvacuatedWhileWaiting(t *testing.T) {
	store := platformtest.NewStore()
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	dialing, evacuated := make(chan struct{}, 10), make(chan struct{})
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		dialing <- struct{}{}
		<-evacuated
		return channel.Dial(ctx, address)
	}
	tr := newTestRouterWith(t, store, "r1", []Option{WithTargetDialer(dial)})
	// The router prefers the targets in its own failure domain, a.
	inA := tr.addTargetsAt("a", plainService, "p1")
	inB := tr.addTargetsAt("b", plainService, "p2")
	tr.waitReady(2)
	done := make(chan callerResponse)
	go func() { done <- tr.post("/once/x", "id", "work") }()
	<-dialing
	tr.evacuate("a")
	close(evacuated)
	require.Equal(t, http.StatusOK, (<-done).status)
	require.Zero(t, arrivals(inA))
	require.Equal(t, 1, arrivals(inB))
}

// place returns the failure domain of a usable target.
func (tr *testRouter) place(id string) string {
	for _, u := range tr.g.upstreams.Load().byIncarnation {
		if u.target.ID() == id && u.target.StartMillis() > 1 {
			return u.target.Place()
		}
	}
	return ""
}

// TestEvacuatedWhileWaitingForPermit guards against the same with a permit.
func TestEvacuatedWhileWaitingForPermit(t *testing.T) {
	store := platformtest.NewStore()
	table := platformtest.RoutingTable(1, []string{testKey}, routes()...)
	for _, route := range table["routes"].([]map[string]any) {
		// Without an objective, requests wait for permits as long as their timeouts permit.
		route["goal_ms"] = 0
	}
	store.PutJSON("op", "config", table)
	tr := newTestRouterAt(t, store, "r1")
	inA := tr.addTargetsAt("a", plainService, "p1")
	tr.waitReady(1)
	inA[0].SetRateLimit("4")
	require.Equal(t, http.StatusOK, tr.post("/once/x", "first", "work").status)
	var calls sync.WaitGroup
	responses := make([]callerResponse, 8)
	for i := range responses {
		calls.Go(func() { responses[i] = tr.post("/once/x", name("id", i), "work") })
	}
	time.Sleep(50 * time.Millisecond)
	report := evacuation.Statement{Place: "a", Evacuated: true, Revision: vanillalug.NewStoreRevision(0, 1000)}
	tr.g.handleEvacuations(evacuation.Report{At: time.Now(), Statements: []evacuation.Statement{report}}, "test")
	time.Sleep(20 * time.Millisecond)
	reached := arrivals(inA)
	calls.Wait()
	require.Equal(t, reached, arrivals(inA))
	require.Less(t, reached, len(responses))
	waited := 0
	for _, w := range responses {
		if strings.Contains(w.body, "service is evacuated") {
			waited++
		}
	}
	require.NotZero(t, waited, "no request waited for a permit: %v", responses)
}

// TestEvacuatedService guards against a service that is evacuated everywhere being served, refused
// late or with a status that says less than that it was not run; and against a router that is not
// ready for that reason.
func TestEvacuatedService(t *testing.T) {
	f, inA, inB := newEvacuationFleet(t, 2)
	tr := f.routers[0]
	tr.evacuate("a")
	tr.evacuate("b")
	f.routers[1].waitEvacuated("b", true)
	require.True(t, tr.g.Ready())
	before := arrivals(inA) + arrivals(inB)
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		w := tr.post(path, "id", "work")
		require.Equal(t, http.StatusServiceUnavailable, w.status)
		require.NotEmpty(t, w.header.Get("Retry-After"))
		require.Contains(t, w.body, "service is evacuated")
	}
	require.Equal(t, before, arrivals(inA)+arrivals(inB))
	f.store.Delete("op", "evacuate/a")
	tr.waitEvacuated("a", false)
	require.Equal(t, http.StatusOK, tr.post("/safe/x", "id2", "work").status)
}

// TestEvacuatedAgainAtOnce guards against changes in quick succession that are taken in the wrong
// order.
func TestEvacuatedAgainAtOnce(t *testing.T) {
	tr := newTestRouter(t)
	tr.addTargetsAt("a", plainService, "p1")
	tr.waitReady(1)
	tr.evacuate("a")
	for range 5 {
		tr.store.Delete("op", "evacuate/a")
		tr.store.Put("op", "evacuate/a", []byte("{}"))
	}
	last := vanillalug.NewStoreRevision(0, tr.store.Revision())
	require.Eventually(t, func() bool { return tr.g.evacuations.completeAt(last) }, waitTimeout, pollInterval)
	require.True(t, tr.g.evacuations.has("a"))
	tr.store.Delete("op", "evacuate/a")
	tr.waitEvacuated("a", false)
}

// TestEvacuationOfUnknownDomain guards against a target that moves into an evacuated domain and is
// used there, and against a row without a sensible name.
func TestEvacuationOfUnknownDomain(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargetsAt("a", plainService, "p1", "p2")
	tr.waitReady(2)
	tr.store.Put("op", "evacuate/", []byte("{}"))
	tr.store.Put("op", "evacuate/"+strings.Repeat("x", evacuation.MaxNameBytes+1), []byte("{}"))
	tr.evacuate("z")
	require.Len(t, *tr.g.evacuations.places.Load(), 1)
	tr.waitUsable("p1", "p2")
	tr.register(targets[1], "z")
	tr.waitUsable("p1")
	tr.register(targets[1], "a")
	tr.waitUsable("p1", "p2")
}

// TestEvacuationAfterOutage guards against an evacuation, or its end, that is lost while the store
// doesn't respond or drops its history.
func TestEvacuationAfterOutage(t *testing.T) {
	for _, fault := range []platformtest.Fault{platformtest.Unavailable, platformtest.Unresponsive, platformtest.Reset} {
		for _, compacted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, compacted=%t", fault, compacted), func(t *testing.T) {
				t.Parallel()
				tr := newTestRouter(t)
				tr.addTargetsAt("a", plainService, "p1")
				tr.addTargetsAt("b", plainService, "p2")
				tr.waitReady(2)
				tr.evacuate("b")
				tr.store.SetFault(fault)
				tr.store.Put("op", "evacuate/a", []byte("{}"))
				tr.store.Delete("op", "evacuate/b")
				time.Sleep(300 * time.Millisecond)
				require.True(t, tr.g.evacuations.has("b"))
				if compacted {
					tr.store.Compact()
				}
				tr.store.SetFault(platformtest.NoFault)
				tr.waitEvacuated("a", true)
				tr.waitEvacuated("b", false)
			})
		}
	}
}

// TestEvacuationInRestoredStore guards against a store that was restored from an older copy and
// ends an evacuation before the operator can write it again.
func TestEvacuationInRestoredStore(t *testing.T) {
	store := newStoreWithEpoch(t)
	tr := newTestRouterAt(t, store, "r1")
	tr.addTargetsAt("a", plainService, "p1")
	tr.waitReady(1)
	backup := store.Backup()
	tr.evacuate("a")
	store.Restore(backup)
	restored := vanillalug.NewStoreRevision(2, 0)
	require.Eventually(t, func() bool { return tr.g.evacuations.completeAt(restored) }, waitTimeout, pollInterval)
	require.True(t, tr.g.evacuations.has("a"))
	require.True(t, tr.g.Ready())
}

// TestRouterThatHearsFromPeers guards against a router that the store rejects and that uses a
// domain which its peers know to be evacuated, when it runs and when it starts.
func TestRouterThatHearsFromPeers(t *testing.T) {
	store := platformtest.NewStore()
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	a := newTestRouterAt(t, store, "a")
	a.addTargetsAt("a", plainService, "p1", "p2")
	a.waitReady(2)
	a.evacuate("x")
	unavailable := platformtest.NewStore()
	unavailable.SetFault(platformtest.Unavailable)
	b := newTestRouterAt(t, unavailable, "b", netip.MustParseAddrPort(a.g.cfg.PeerAddress))
	require.Eventually(t, b.g.Ready, evacuationsTimeout/2, pollInterval)
	require.True(t, b.g.evacuations.has("x"), "ready before it knows what is evacuated")
	a.evacuate("a")
	b.waitEvacuated("a", true)
	require.Contains(t, b.logs.String(), `"source":"peer a"`)
	store.Delete("op", "evacuate/a")
	b.waitEvacuated("a", false)
}

// TestPeerOfOlderBuild guards against a router that takes the routing table from a peer which
// can't tell what is evacuated, and then misses a row that is older than the table; against one
// that serves before it knows; and against one that is never ready.
func TestPeerOfOlderBuild(t *testing.T) {
	store := platformtest.NewStore()
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	a := newTestRouterAt(t, store, "a")
	a.addTargetsAt("a", plainService, "p1")
	a.waitReady(1)
	reply, err := a.g.GetBeliefs(context.Background(), &peer.GetBeliefsRequest{Insist: true})
	require.NoError(t, err)
	reply.Evacuations, reply.EvacuationsComplete, reply.PlanRevision = nil, false, reply.PlanRevision+100
	reply.RegistryRevision += 100
	tests := map[string]struct{ storeBack bool }{"the store tells": {true}, "nobody tells": {false}}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			own := platformtest.NewStore()
			own.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
			own.Put("op", "evacuate/a", []byte("{}"))
			own.SetFault(platformtest.Unavailable)
			b := newTestRouterAt(t, own, "b")
			b.g.applyReply(reply, netip.MustParseAddrPort("127.0.0.1:9"), b.g.versions())
			require.NotNil(t, b.g.table.Load())
			require.False(t, b.g.Ready())
			require.Equal(t, http.StatusServiceUnavailable, b.post("/once/x", "id", "work").status)
			if tt.storeBack {
				own.SetFault(platformtest.NoFault)
				b.waitEvacuated("a", true)
				return
			}
			require.Eventually(t, b.g.Ready, 2*evacuationsTimeout, pollInterval)
		})
	}
}

// TestRunningRouterWithPeerOfOlderBuild guards against a poll of the store that skips the row of
// an evacuation because a peer sent a newer routing table.
func TestRunningRouterWithPeerOfOlderBuild(t *testing.T) {
	tr := newTestRouter(t)
	tr.addTargetsAt("a", plainService, "p1")
	tr.waitReady(1)
	tr.store.SetFault(platformtest.Unavailable)
	tr.store.Put("op", "evacuate/a", []byte("{}"))
	tr.store.PutJSON("op", "config", platformtest.RoutingTable(2, []string{testKey}, routes()...))
	reply := &peer.GetBeliefsReply{
		From: "old", PlanVersion: 2, Plan: tr.store.Value("op", "config"), PlanRevision: tr.store.Revision(),
	}
	tr.g.applyReply(reply, netip.MustParseAddrPort("127.0.0.1:9"), tr.g.versions())
	require.Equal(t, uint64(2), tr.tableVersion())
	tr.store.SetFault(platformtest.NoFault)
	tr.waitEvacuated("a", true)
}

// TestPeerOutOfDate guards against a router that was frozen while a domain was taken back, and
// hears nothing as that is old news.
func TestPeerOutOfDate(t *testing.T) {
	f := newPartitionTestFleet(t, 2)
	unaware := f.routers[1]
	evacuated := evacuation.Statement{Place: "z", Evacuated: true, Revision: vanillalug.NewStoreRevision(0, 1)}
	// The table was read at the first revision or later; the row must be older than that.
	f.store.Put("op", "evacuate/y", []byte("{}"))
	f.routers[0].waitEvacuated("y", true)
	unaware.g.evacuations.mu.Lock()
	unaware.g.evacuations.state = evacuation.NewState()
	unaware.g.evacuations.mu.Unlock()
	unaware.g.handleEvacuations(evacuation.Report{At: time.Now(), Statements: []evacuation.Statement{evacuated}}, "test")
	require.True(t, unaware.g.evacuations.has("z"))
	unaware.waitEvacuated("z", false)
	require.False(t, f.routers[0].g.evacuations.has("z"))
}

// TestProbesOfEvacuatedTargets guards against connections and queries to evacuated targets that no
// request needs.
func TestProbesOfEvacuatedTargets(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargetsAt("a", promptService, "e1", "e2")
	tr.waitReady(2)
	before := tr.g.upstreams.Load().byService[promptService]
	tr.evacuate("a")
	conns := targets[0].TotalConns() + targets[1].TotalConns()
	for _, u := range before {
		tr.g.probeTarget(u)
		tr.g.queryEngine(context.Background(), u)
		permit, _ := tr.g.issuePermit(u.limitKey(), quota.PlaceRequest{}, time.Second)
		require.False(t, permit.Granted)
	}
	tr.g.queryEngines(context.Background())
	require.Equal(t, conns, targets[0].TotalConns()+targets[1].TotalConns())
	require.Zero(t, targets[0].CacheListCalls()+targets[1].CacheListCalls())
}

// TestNoCopyFromEvacuatedEngine guards against a copy of a prompt from an engine that was evacuated
// after it was chosen.
func TestNoCopyFromEvacuatedEngine(t *testing.T) {
	tr := newTestRouter(t)
	source := tr.addTargetsAt("a", promptService, "e1")[0]
	tr.addTargetsAt("b", promptService, "e2")
	tr.evacuate("a")
	u := tr.g.upstreams.Load().byService[promptService][0]
	for address, copied := range map[string]bool{source.Address(): false, "127.0.0.1:9": true} {
		conn, err := u.pool.Get(context.Background(), time.Now(), channel.Limits{})
		require.NoError(t, err)
		request := &transaction{g: tr.g, copyFrom: address}
		require.True(t, request.checkEvacuation(u, conn))
		require.Equal(t, copied, request.copyFrom != "")
		conn.Discard()
	}
}
