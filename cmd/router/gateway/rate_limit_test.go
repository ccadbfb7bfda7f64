package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/quota"
)

const (
	// limitRate is the limit that the targets name, in requests a second.
	limitRate = 4
	// limitWindow is the time in which the requests of all routers are counted, and
	// maxPerWindow the most that may arrive then: one and a half times what the limit
	// allows, and five.
	limitWindow  = 4 * time.Second
	maxPerWindow = limitRate*4*3/2 + 5
	// limitContactTime is the time for all routers to know of the limit.
	limitContactTime = 2 * time.Second
	limitTestTime    = limitContactTime + limitWindow + time.Second
	// limitTestInterval is the time between two requests through one of the routers.
	limitTestInterval = 25 * time.Millisecond
)

// limitTestFleet is several routers with targets, some of which name a limit.
type limitTestFleet struct {
	routers []*testRouter
	targets []*platformtest.Target
}

func newLimitTestFleet(t *testing.T, service string, limited, unlimited int) *limitTestFleet {
	store := platformtest.NewStore()
	t.Cleanup(store.Close)
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	f := &limitTestFleet{}
	for i := range 3 {
		f.routers = append(f.routers, newTestRouterAt(t, store, name("r", i)))
	}
	for i := range limited + unlimited {
		f.targets = append(f.targets, f.routers[0].addTargets(service, name("p", i))...)
	}
	for _, tr := range f.routers {
		tr.waitReady(len(f.targets))
		require.Eventually(t, func() bool { return len(tr.g.peers.all()) == len(f.routers)-1 }, waitTimeout, pollInterval)
	}
	for _, target := range f.targets[:limited] {
		target.SetRateLimit(strconv.Itoa(limitRate))
	}
	return f
}

// play sends requests through all routers in turn, and returns the responses.
func (f *limitTestFleet) play(path string, change ...func(*http.Request)) []callerResponse {
	var calls sync.WaitGroup
	responses := make([]callerResponse, limitTestTime/limitTestInterval)
	for i := range responses {
		calls.Go(func() {
			responses[i] = f.routers[i%len(f.routers)].send(http.MethodPost, path, name("a", i), nil, change...)
		})
		time.Sleep(limitTestInterval)
	}
	calls.Wait()
	return responses
}

// maxInWindow returns the most requests that reached a target in one window that begins
// when all routers must know of its limit.
func maxInWindow(target *platformtest.Target, since time.Time) int {
	arrivals := target.Arrivals()
	most, first := 0, 0
	for i, a := range arrivals {
		for arrivals[first].At.Before(since) || a.At.Sub(arrivals[first].At) > limitWindow {
			first++
			if first > i {
				break
			}
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitOfTargetHoldsForAllRouters guards against a target that names a limit in its
// responses getting more from all routers together, while its others are idle or
// all of them name one.
func TestLimitOfTargetHoldsForAllRouters(t *testing.T) {
	tests := map[string]struct {
		service, path      string
		limited, unlimited int
		prompt             bool
	}{
		"a plain service":               {plainService, "/safe/x", 1, 1, false},
		"non-idempotent requests":       {plainService, "/once/x", 1, 1, false},
		"a prompt that it has cached":   {promptService, "/prompt/x", 1, 1, true},
		"every target names a limit":    {plainService, "/safe/x", 2, 0, false},
		"every engine names a limit":    {promptService, "/prompt/x", 2, 0, true},
		"a stream":                      {engineService, "/stream/x", 1, 1, false},
		"all but one of several limits": {promptService, "/prompt/x", 4, 1, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLimitTestFleet(t, tt.service, tt.limited, tt.unlimited)
			var change []func(*http.Request)
			if tt.prompt {
				change = append(change, func(r *http.Request) { platformtest.SetPromptParts(r, "m", commonPart, topicPart, "1") })
			}
			start := time.Now()
			responses := f.play(tt.path, change...)
			served := 0
			for _, w := range responses {
				require.NoError(t, w.err)
				if w.status == http.StatusOK {
					served++
					continue
				}
				require.Equal(t, http.StatusServiceUnavailable, w.status)
				require.NotEmpty(t, w.header.Get("Retry-After"))
			}
			for _, target := range f.targets[:tt.limited] {
				require.LessOrEqual(t, maxInWindow(target, start.Add(limitContactTime)), maxPerWindow, target.ID)
			}
			if tt.unlimited > 0 {
				require.Len(t, responses, served, "the other targets take all requests")
				return
			}
			allowed := float64(tt.limited*limitRate) * limitTestTime.Seconds()
			require.Greater(t, float64(served), 0.7*allowed, "what the targets take is used")
		})
	}
}

// issuerAndOther returns the router that issues the permits of a target, and one that doesn't.
func (f *limitTestFleet) issuerAndOther(t *testing.T, key quota.TargetKey) (issuer, other *testRouter) {
	require.Eventually(t, func() bool {
		issuer, other = nil, nil
		agreed := map[string]bool{}
		for _, tr := range f.routers {
			name, _ := tr.g.permitIssuer(key)
			agreed[name] = true
			if name == tr.g.cfg.Name {
				issuer = tr
			} else {
				other = tr
			}
		}
		return len(agreed) == 1 && issuer != nil
	}, waitTimeout, pollInterval)
	return issuer, other
}

// TestOneRouterIssuesPermits checks that only the router on which the others agree issues
// the permits of a target, that one that shuts down leaves that to another, and that a
// router that doesn't reply is replaced.
func TestOneRouterIssuesPermits(t *testing.T) {
	tests := map[string]func(issuer *testRouter){
		"it shuts down":    func(issuer *testRouter) { issuer.g.StartDraining() },
		"it is lost":       func(issuer *testRouter) { issuer.close() },
		"nothing happens":  nil,
		"it stops replies": func(issuer *testRouter) { issuer.cleanups[3]() },
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newLimitTestFleet(t, plainService, 1, 0)
			require.Equal(t, http.StatusOK, f.routers[0].post("/once/x", "first", "work").status)
			key := f.routers[0].g.upstreams.Load().byService[plainService][0].limitKey()
			issuer, other := f.issuerAndOther(t, key)
			ask := func(tr *testRouter) *peer.TakePermitReply {
				limit := limitToProto(quota.Report{Target: key, Limit: quota.NewLimit(limitRate)})
				reply, err := tr.g.TakePermit(t.Context(), &peer.TakePermitRequest{From: "test", Target: uint64(key), Limit: limit, MaxWaitMs: 1000})
				require.NoError(t, err)
				return reply
			}
			require.False(t, ask(other).Granted)
			require.True(t, ask(issuer).Granted)
			if end == nil {
				return
			}
			end(issuer)
			if name == "it stops replies" {
				// It still sends datagrams: requests are rejected at once, not held.
				w := other.post("/once/x", "second", "work")
				require.Equal(t, http.StatusServiceUnavailable, w.status)
				require.NotEmpty(t, w.header.Get("Retry-After"))
				return
			}
			require.Eventually(t, func() bool {
				return other.post("/once/x", "again", "work").status == http.StatusOK
			}, waitTimeout, 10*pollInterval)
			name, _ := other.g.permitIssuer(key)
			require.NotEqual(t, issuer.g.cfg.Name, name)
		})
	}
}

// TestLimitThatEnds checks that every router sends as before once a target has stated to
// one of them that it has no limit any more.
func TestLimitThatEnds(t *testing.T) {
	t.Parallel()
	f := newLimitTestFleet(t, plainService, 1, 0)
	require.Equal(t, http.StatusOK, f.routers[0].post("/once/x", "first", "work").status)
	key := f.routers[0].g.upstreams.Load().byService[plainService][0].limitKey()
	known := func(limited bool) func() bool {
		return func() bool {
			for _, tr := range f.routers {
				if tr.g.limits.Limit(key).Limited() != limited {
					return false
				}
			}
			return true
		}
	}
	require.Eventually(t, known(true), waitTimeout, pollInterval)
	f.targets[0].SetRateLimit("")
	require.Eventually(t, func() bool {
		return f.routers[0].post("/once/x", "second", "work").status == http.StatusOK
	}, waitTimeout, pollInterval)
	require.Eventually(t, known(false), waitTimeout, pollInterval)
	for i := range 20 {
		require.Equal(t, http.StatusOK, f.routers[i%3].post("/once/x", name("a", i), "work").status)
	}
}
