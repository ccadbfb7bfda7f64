package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/quota"
	"vanillalug.example/schedule"
)

const (
	// coldRate is how many requests a second a cold target takes, and coldBound how many it survives in
	// any second: one and a half times as many, and five.
	coldRate  = 4.0
	coldBound = 11
	// coldTestTime is how long targets of the service are cold.
	coldTestTime = 6 * time.Second
	// coldTestInterval is the time between two requests through one of the routers.
	coldTestInterval = 5 * time.Millisecond
	heartbeatTime    = 300 * time.Millisecond
)

// coldFleet is several routers and targets of a service with a cold start.
type coldFleet struct {
	t       *testing.T
	store   *platformtest.Store
	service string
	seeds   []netip.AddrPort

	mu      sync.Mutex
	routers []*testRouter
	targets []*platformtest.Target
	served  int
}

func newColdFleet(t *testing.T, service string, routers int) *coldFleet {
	f := &coldFleet{t: t, store: platformtest.NewStore(), service: service}
	t.Cleanup(f.store.Close)
	table := routes()
	for i := range table {
		if table[i].Service == service {
			table[i].ColdSeconds, table[i].ColdRate = coldTestTime.Seconds(), coldRate
		}
	}
	f.store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, table...))
	for i := range routers {
		f.routers = append(f.routers, f.startRouter(name("r", i)))
	}
	return f
}

// startRouter starts a router whose end leaves the store of the fleet open.
func (f *coldFleet) startRouter(name string) *testRouter {
	tr := newTestRouterAt(f.t, f.store, name, f.seeds...)
	tr.cleanups = tr.cleanups[:len(tr.cleanups)-1]
	return tr
}

// start starts a target that is cold for a time; 0 is warm. Its heartbeats go on until the test ends.
func (f *coldFleet) start(id string, cold platformtest.Cold) *platformtest.Target {
	target, err := platformtest.NewTarget(id, f.service, f.service != plainService)
	require.NoError(f.t, err)
	f.t.Cleanup(target.Close)
	target.SetCold(cold)
	f.store.PutJSON("servers", id, target.Heartbeat(1))
	done := make(chan struct{})
	f.t.Cleanup(func() { close(done) })
	go func() {
		for n := 2; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(heartbeatTime):
				f.store.PutJSON("servers", id, target.Heartbeat(n))
			}
		}
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = append(f.targets, target)
	return target
}

func (f *coldFleet) router(n int) *testRouter {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.routers[n%len(f.routers)]
}

// load sends requests through all routers in turn for a time, and counts those that are served.
func (f *coldFleet) load(path string, d time.Duration) {
	var calls sync.WaitGroup
	for i, begin := 0, time.Now(); time.Since(begin) < d; i++ {
		tr := f.router(i)
		calls.Go(func() {
			w := tr.send(http.MethodPost, path, name("c", i), strings.NewReader("work"), func(r *http.Request) {
				if f.service == promptService {
					platformtest.SetPromptParts(r, "m", commonPart, topicPart, name("", i))
				}
			})
			f.mu.Lock()
			defer f.mu.Unlock()
			if w.status == http.StatusOK {
				f.served++
			}
		})
		time.Sleep(coldTestInterval)
	}
	calls.Wait()
}

// kill ends a router without a goodbye and starts it again after a time.
func (f *coldFleet) kill(n int, away time.Duration) {
	old := f.router(n)
	old.close()
	time.Sleep(away)
	next := f.startRouter(old.g.cfg.Name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.routers[n] = next
}

// waitForDuty waits until the routers know each other, so that one issues permits.
func (f *coldFleet) waitForDuty() {
	require.Eventually(f.t, func() bool {
		for _, tr := range f.routers {
			if !tr.g.routersListed.Load() || len(tr.g.peers.all()) < len(f.routers)-1 {
				return false
			}
		}
		return true
	}, 2*waitTimeout, pollInterval)
}

func (f *coldFleet) requireAlive() {
	for _, target := range f.targets {
		require.False(f.t, target.Crashed(), "%s got %d requests in a second, %d are allowed", target.ID, target.MostWhileCold(), coldBound)
		f.t.Logf("%s: at most %d in a second", target.ID, target.MostWhileCold())
	}
}

// TestColdTargets guards against a target that starts, or becomes cold again, getting more requests
// than it survives from all routers together, whatever the routers know of it by then, and against it
// getting none.
func TestColdTargets(t *testing.T) {
	tests := map[string]struct {
		service, path string
		warm          int
		inResponses   bool
		behaviour     platformtest.Behaviour
	}{
		"beside warm targets":      {plainService, "/safe/x", 2, false, platformtest.Serve},
		"no warm target":           {plainService, "/once/x", 0, false, platformtest.Serve},
		"beside warm engines":      {promptService, "/prompt/x", 2, false, platformtest.Serve},
		"no warm engine":           {promptService, "/prompt/x", 0, false, platformtest.Serve},
		"stated in responses, too": {plainService, "/safe/x", 0, true, platformtest.Serve},
		"retries":                  {plainService, "/safe/x", 0, false, platformtest.ResetAfter},
		"rejected and sent again":  {plainService, "/once/x", 0, false, platformtest.Shed},
		"resumed streams":          {engineService, "/stream/x", 0, false, platformtest.Truncate},
	}
	for title, tt := range tests {
		t.Run(title, func(t *testing.T) {
			t.Parallel()
			f := newColdFleet(t, tt.service, 3)
			for i := range tt.warm {
				f.start(name("w", i), platformtest.Cold{InResponses: tt.inResponses, MaxPerSecond: coldBound})
			}
			cold := platformtest.Cold{For: coldTestTime, MaxPerSecond: coldBound, InResponses: tt.inResponses}
			f.waitForDuty()
			go func() {
				time.Sleep(time.Second)
				f.start("c0", cold).SetDefault(tt.behaviour)
				f.start("c1", cold).SetDefault(tt.behaviour)
			}()
			f.load(tt.path, coldTestTime)
			f.requireAlive()
			require.Len(t, f.targets, tt.warm+2)
			t.Logf("served %d", f.served)
			for _, target := range f.targets {
				if tt.warm > 0 {
					continue
				}
				require.NotZero(t, target.MostWhileCold(), "a cold target takes some requests")
			}
		})
	}
}

// TestPresumeCold guards against targets being taken for warm of which nothing is known, or whose failure
// domain was evacuated, and against those being taken for cold whose entries say that they are warm.
func TestPresumeCold(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, plainService, 1)
	tr := f.routers[0]
	warm := f.start("w0", platformtest.Cold{MaxPerSecond: coldBound})
	unknown := warm.Entry("ready")
	delete(unknown, "cold_remaining_ms")
	f.store.PutJSON("servers", "unknown", unknown)
	negative := warm.Entry("ready")
	negative["cold_remaining_ms"] = -5
	f.store.PutJSON("servers", "negative", negative)
	tr.waitReady(3)
	cold := func(id string) time.Duration {
		remaining, _ := tr.g.limits.ColdFor(tr.g.upstreams.Load().byIncarnation[id].limitKey(), time.Now())
		return remaining
	}
	require.Zero(t, cold("w0/1"))
	require.Positive(t, cold("unknown/1"))
	require.Positive(t, cold("negative/1"))
	tr.g.presumeColdPlace("elsewhere", time.Now())
	require.Zero(t, cold("w0/1"))
	tr.g.presumeColdPlace(warm.Place, time.Now())
	require.Greater(t, cold("w0/1"), coldTestTime/2)
	time.Sleep(2 * heartbeatTime)
	require.Positive(t, cold("w0/1"), "the entry may have been written before")
	require.Eventually(t, func() bool { return cold("w0/1") == 0 }, waitTimeout, pollInterval, "a later entry says that it is warm")
}

// TestColdTargetsWhileRoutersRestart guards against routers that are killed and start again, the one
// that issues permits among them, forgetting that targets are cold or issuing a rate each.
func TestColdTargetsWhileRoutersRestart(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, plainService, 3)
	cold := platformtest.Cold{For: time.Hour, MaxPerSecond: coldBound}
	for i := range 3 {
		f.start(name("c", i), cold)
	}
	var restarts sync.WaitGroup
	restarts.Go(func() {
		for n := range 3 {
			time.Sleep(4 * time.Second)
			f.kill(n, 500*time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		for n := range 3 {
			restarts.Go(func() { f.kill(n, 200*time.Millisecond) })
		}
	})
	f.load("/safe/x", 24*time.Second)
	restarts.Wait()
	f.requireAlive()
	for _, target := range f.targets {
		require.NotZero(t, target.MostWhileCold(), "a cold target takes some requests")
	}
	t.Logf("served %d", f.served)
}

// TestColdEnginesAreNotQueried guards against a cold engine being asked for its cached prompts by all
// routers that start.
func TestColdEnginesAreNotQueried(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, promptService, 1)
	f.start("c0", platformtest.Cold{For: time.Hour, MaxPerSecond: coldBound})
	f.start("w0", platformtest.Cold{MaxPerSecond: coldBound})
	tr := f.routers[0]
	tr.waitReady(2)
	before := f.targets[1].CacheListCalls()
	tr.g.queryEngines(t.Context())
	require.Greater(t, f.targets[1].CacheListCalls(), before)
	require.Zero(t, f.targets[0].CacheListCalls())
}

// TestPermitOfColdTargetIsTooOld guards against a permit being used long after it was issued, as the
// connection to the target took its time: requests of several seconds would arrive in one.
func TestPermitOfColdTargetIsTooOld(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, plainService, 0)
	var dials atomic.Int64
	slow := func(ctx context.Context, address string) (net.Conn, error) {
		dials.Add(1)
		time.Sleep(quota.MaxColdPermitAge * 3 / 2)
		return channel.Dial(ctx, address)
	}
	tr := newTestRouterWith(t, f.store, "r0", []Option{WithTargetDialer(slow)})
	f.routers = append(f.routers, tr)
	f.start("c0", platformtest.Cold{For: time.Hour, MaxPerSecond: coldBound})
	tr.waitReady(1)
	require.Eventually(t, func() bool {
		return tr.post("/safe/x", name("a", int(time.Now().UnixNano())), "work").status == http.StatusOK
	}, 2*waitTimeout, 100*time.Millisecond)
	require.Positive(t, dials.Load())
	require.Contains(t, tr.logs.String(), "permit too old")
	require.Len(t, f.targets[0].Arrivals(), 1)
}

// oldIssuer issues permits as a build does that doesn't know cold targets.
type oldIssuer struct{ peer.Beliefs }

func (oldIssuer) TakePermit(context.Context, *peer.TakePermitRequest) (*peer.TakePermitReply, error) {
	return &peer.TakePermitReply{Granted: true, Limit: &peer.TargetLimit{}}, nil
}

// TestOldBuildIssuesNoPermitsOfColdTargets guards against requests being sent with the permits of a
// router that doesn't count those of cold targets.
func TestOldBuildIssuesNoPermitsOfColdTargets(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, plainService, 1)
	f.start("c0", platformtest.Cold{For: time.Hour, MaxPerSecond: coldBound})
	tr := f.routers[0]
	tr.waitReady(1)
	server := httptest.NewServer(peer.NewBeliefsServer(oldIssuer{}))
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	key := tr.g.upstreams.Load().byIncarnation["c0/1"].limitKey()
	for i := range 100 {
		tr.g.peers.update(name("old", i), peerVersions{address: address, issuesPermits: true})
		if issuer, _ := tr.g.permitIssuer(key); issuer != tr.g.cfg.Name {
			break
		}
	}
	issuer, _ := tr.g.permitIssuer(key)
	require.NotEqual(t, tr.g.cfg.Name, issuer)
	w := tr.post("/safe/x", "a", "work")
	require.Equal(t, http.StatusServiceUnavailable, w.status)
	require.NotEmpty(t, w.header.Get("Retry-After"))
	require.Empty(t, f.targets[0].Arrivals())
}

// TestColdnessReachesPeers guards against a router that doesn't read the registry itself missing that a
// target becomes cold again, or is warm before its time, and against a router that asks a peer at its
// start taking warm targets for cold.
func TestColdnessReachesPeers(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, plainService, 1)
	target := f.start("c0", platformtest.Cold{MaxPerSecond: coldBound})
	from := f.routers[0]
	from.waitReady(1)
	key := from.g.upstreams.Load().byIncarnation["c0/1"].limitKey()
	to := newColdFleet(t, plainService, 1).routers[0]
	require.Eventually(t, func() bool { return to.g.table.Load() != nil }, waitTimeout, pollInterval)
	reply, err := from.g.GetBeliefs(t.Context(), &peer.GetBeliefsRequest{})
	require.NoError(t, err)
	to.g.applyReply(reply, netip.MustParseAddrPort("127.0.0.1:9"), versions{})
	to.waitReady(1)
	cold := func(tr *testRouter) bool { return tr.g.limits.LimitAt(key, time.Now()).Cold() }
	require.False(t, cold(to), "the peer knows that it is warm")
	tell := func() {
		share := from.g.buildShare(nil, time.Now())
		to.g.handleShare(share, netip.MustParseAddrPort("127.0.0.1:9"))
	}
	tell()
	require.False(t, cold(to))
	digest := from.g.versions().registryDigest
	target.SetCold(platformtest.Cold{For: time.Hour, MaxPerSecond: coldBound})
	require.Eventually(t, func() bool { return cold(from) }, waitTimeout, pollInterval)
	tell()
	require.True(t, cold(to))
	require.Equal(t, digest, from.g.versions().registryDigest, "coldness is not part of the digest")
	logged := func(line string) func() bool {
		return func() bool { return strings.Contains(from.logs.String(), line) }
	}
	// The log is written at intervals: it misses coldness that ends before.
	require.Eventually(t, logged(`"target cold"`), waitTimeout, pollInterval)
	target.SetCold(platformtest.Cold{MaxPerSecond: coldBound})
	require.Eventually(t, func() bool {
		tell()
		return !cold(from) && !cold(to)
	}, waitTimeout, 20*pollInterval)
	require.Eventually(t, logged(`"target warm"`), waitTimeout, pollInterval)
	require.Equal(t, 1, strings.Count(from.logs.String(), `"target cold"`))
}

// TestRouterThatIsNewIssuesNoPermits guards against routers that all restart issuing a rate each before
// they know of each other.
func TestRouterThatIsNewIssuesNoPermits(t *testing.T) {
	t.Parallel()
	g := New(Config{Name: "r0"}, schedule.NewSystem(), hclog.NewNullLogger(), nil, nil)
	g.routersListed.Store(true)
	now := g.startedAt
	tick := func(d time.Duration) float64 {
		for end := now.Add(d); now.Before(end); now = now.Add(shareInterval) {
			g.tickColdDuty(now)
		}
		return g.coldShare(1, now)
	}
	require.InDelta(t, 1, tick(4*time.Second), 0)
	g.routersListed.Store(false)
	require.Zero(t, tick(4*time.Second))
	require.InDelta(t, 1, tick(listTime), 0)
}

// TestIssuerWithoutTheTarget guards against a router that has no entry of a cold target, but issues its
// permits, granting them without a bound, or none.
func TestIssuerWithoutTheTarget(t *testing.T) {
	t.Parallel()
	f := newColdFleet(t, plainService, 1)
	f.waitForDuty()
	ago := uint32(0)
	limit := &peer.TargetLimit{
		Target: 7, AgoMs: uint32(noLimitAge.Milliseconds()), ColdMs: 60000, ColdRequestsPerSecond: coldRate, ColdAgoMs: &ago,
	}
	ask := func() bool {
		reply, err := f.routers[0].g.TakePermit(t.Context(), &peer.TakePermitRequest{From: "test", Target: 7, Limit: limit})
		require.NoError(t, err)
		require.NotNil(t, reply.Limit.ColdAgoMs, "it says what it knows")
		return reply.Granted
	}
	require.Eventually(t, ask, 2*waitTimeout, pollInterval)
	granted := 0
	for begin := time.Now(); time.Since(begin) < 2*time.Second; time.Sleep(pollInterval) {
		if ask() {
			granted++
		}
	}
	require.InDelta(t, 2*coldRate, granted, 3)
}
