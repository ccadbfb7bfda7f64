package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/fitting"
	"vanillalug.example/platform/platformtest"
)

// waitRelaying waits until the first routers relay the requests of a service.
func (f *partitionTestFleet) waitRelaying(t *testing.T, path, service string, routers int) {
	for i, tr := range f.routers[:routers] {
		require.Eventually(t, func() bool {
			tr.post(path, fmt.Sprintf("wait%d-%d", i, time.Now().UnixNano()), "work")
			return tr.g.detours.Unreachable(service)
		}, waitTimeout, pollInterval)
	}
}

// TestRelayedResponses checks that what a peer relays reaches the caller unchanged, and what a
// caller learns if it can't be known whether the request has run.
func TestRelayedResponses(t *testing.T) {
	tests := map[string]struct {
		path      string
		behaviour platformtest.Behaviour
		status    int
		body      string
		sealed    bool
	}{
		"served":                         {"/once/x", platformtest.Serve, 200, "done id", true},
		"failure of the target":          {"/once/x", platformtest.Fail, 500, "failed id", true},
		"run and not answered":           {"/once/x", platformtest.ResetAfter, 502, "", false},
		"run and busy":                   {"/once/x", platformtest.FailBusy, 502, "", false},
		"not run":                        {"/once/x", platformtest.Shed, 503, "", false},
		"idempotent and not run":         {"/safe/x", platformtest.Shed, 503, "", false},
		"stream":                         {"/stream/x", platformtest.Serve, 200, platformtest.Stream(), true},
		"stream without events, no more": {"/broken/x", platformtest.HeadOnly, 502, "", false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartitionTestFleet(t, 3)
			f.cut(resetting, 1)
			service := plainService
			if strings.HasPrefix(tt.path, "/s") && tt.path != "/safe/x" || strings.HasPrefix(tt.path, "/b") {
				service = engineService
			}
			f.waitRelaying(t, tt.path, service, 1)
			for _, target := range f.targets {
				target.SetDefault(tt.behaviour)
			}
			w := f.routers[0].post(tt.path, "id", "work")
			require.NoError(t, w.err)
			require.Equal(t, tt.status, w.status)
			require.Equal(t, tt.sealed, platformtest.Seal(w.header) != "")
			if tt.body != "" {
				require.Equal(t, tt.body, w.body)
			}
			require.Empty(t, w.header.Get(unreachableHeader))
			if tt.path == "/once/x" {
				require.LessOrEqual(t, countExecutions("id", f.targets), 1)
			}
		})
	}
}

// TestRelayedTargetClaimsUnreachable checks that a target can't state in a relayed response that
// it was not reached, after which a request that it ran would be sent again.
func TestRelayedTargetClaimsUnreachable(t *testing.T) {
	tests := map[string]struct{ path, service string }{
		"response": {"/once/x", plainService},
		"stream":   {"/stream/x", engineService},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartitionTestFleet(t, 3)
			f.cut(resetting, 1)
			f.waitRelaying(t, tt.path, tt.service, 1)
			for _, target := range f.targets {
				target.SetExtraHeader(unreachableHeader + ": 1")
			}
			require.Equal(t, http.StatusOK, f.routers[0].post(tt.path, "id", "work").status)
			require.Equal(t, 1, countExecutions("id", f.targets))
		})
	}
}

// TestRequestIsRelayedOnce checks that two routers that reach no target don't relay to each other,
// that a caller hears soon that its request was not run, and that it is served when a third one
// reaches the targets.
func TestRequestIsRelayedOnce(t *testing.T) {
	f := newPartitionTestFleet(t, 3)
	f.cut(resetting, 3)
	f.waitRelaying(t, "/once/x", plainService, 3)
	start := time.Now()
	w := f.routers[0].post("/once/x", "none", "work")
	require.Equal(t, http.StatusServiceUnavailable, w.status)
	require.Less(t, time.Since(start), time.Second)
	require.Zero(t, countExecutions("none", f.targets))
	f.links[2].set(connected)
	require.Eventually(t, func() bool {
		return f.routers[0].post("/once/x", fmt.Sprintf("a%d", time.Now().UnixNano()), "work").status == http.StatusOK
	}, waitTimeout, pollInterval)
}

// TestCallerOfRelayedRequestDisconnects checks that the target's work is cancelled, as without
// the detour.
func TestCallerOfRelayedRequestDisconnects(t *testing.T) {
	f := newPartitionTestFleet(t, 2)
	f.cut(hanging, 1)
	f.waitRelaying(t, "/broken/x", engineService, 1)
	for _, target := range f.targets {
		target.SetDefault(platformtest.OpenStream)
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := make(chan struct{})
	go func() {
		defer close(started)
		r, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.routers[0].entry.URL+"/broken/x", strings.NewReader("work"))
		platformtest.SetCallerHeaders(r, "leaves", testKey, 2*time.Second)
		w, err := http.DefaultClient.Do(r)
		if err == nil {
			_, _ = w.Body.Read(make([]byte, 1))
			cancel()
			_ = w.Body.Close()
		}
	}()
	<-started
	defer cancel()
	require.Equal(t, 1, countExecutions("leaves", f.targets))
	require.Eventually(t, func() bool {
		return f.routers[1].g.relayed.Load() == 0 && f.routers[1].g.inFlight.Load() == 0
	}, 500*time.Millisecond, pollInterval)
}

// TestPartitionIsNoEvidenceAboutTargets checks that other routers neither take targets for failing
// nor requests for harmful because some routers don't reach any target.
func TestPartitionIsNoEvidenceAboutTargets(t *testing.T) {
	const routers, cut = 8, 5
	f := newPartitionTestFleet(t, routers)
	f.play("/safe/x", "before", routers, 300*time.Millisecond)
	f.cut(resetting, cut)
	f.play("/safe/x", "during", routers, 2*time.Second)
	other := f.routers[routers-1].g
	keys := make([]fitting.Key, 0, len(f.targets))
	for _, target := range f.targets {
		keys = append(keys, fitting.KeyOf(target.ID+"/1"))
	}
	require.Eventually(t, func() bool {
		for _, failing := range other.failingTargets(plainService, keys, time.Now()) {
			if failing {
				return false
			}
		}
		return true
	}, waitTimeout, pollInterval)
	served, sent := f.play("/safe/x", "then", routers, 2*time.Second)
	require.Equal(t, sent, served)
	require.NotContains(t, f.routers[routers-1].logs.String(), "target fails for many routers")
	require.NotContains(t, f.routers[routers-1].logs.String(), "requests crash targets")
}

// TestPartitionHeals checks that a router uses its own connections again soon after a partition,
// and that it opens few during it.
func TestPartitionHeals(t *testing.T) {
	f := newPartitionTestFleet(t, 2)
	f.cut(refusing, 1)
	f.waitRelaying(t, "/safe/x", plainService, 1)
	f.play("/safe/x", "during", 1, time.Second)
	before := f.links[0].dials()
	f.links[0].set(connected)
	healed := time.Now()
	require.Eventually(t, func() bool { return !f.routers[0].g.detours.Unreachable(plainService) }, 2*time.Second, pollInterval)
	require.Less(t, time.Since(healed), 1500*time.Millisecond)
	served, sent := f.play("/safe/x", "after", 1, time.Second)
	require.Equal(t, sent, served)
	require.LessOrEqual(t, f.links[0].dials()-before, 3*len(f.targets), "idle connections are used again")
	require.Contains(t, f.routers[0].logs.String(), "targets are reached again")
}

// TestStreamGoesOnThroughPeer checks that a stream that a partition breaks off goes on through a
// peer, at the software version that began it.
func TestStreamGoesOnThroughPeer(t *testing.T) {
	f := newPartitionTestFleet(t, 3)
	for i, target := range f.targets[3:] {
		target.SoftwareVersion = name("v", i%2)
		f.store.PutJSON("servers", target.ID, target.Entry("ready"))
	}
	for _, tr := range f.routers {
		require.Eventually(t, func() bool {
			for _, target := range f.targets[3:] {
				u := tr.g.upstreams.Load().byIncarnation[target.ID+"/1"]
				if u == nil || u.target.SoftwareVersion() != target.SoftwareVersion {
					return false
				}
			}
			return true
		}, waitTimeout, pollInterval)
	}
	for _, target := range f.targets {
		target.SetDefault(platformtest.SlowStream)
	}
	r, err := http.NewRequest(http.MethodPost, f.routers[0].entry.URL+"/stream/x", strings.NewReader("work"))
	require.NoError(t, err)
	platformtest.SetCallerHeaders(r, "id", testKey, 2*time.Second)
	w, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer func() { _ = w.Body.Close() }()
	first := make([]byte, len(platformtest.Event(1)))
	_, err = io.ReadFull(w.Body, first)
	require.NoError(t, err)
	f.cut(resetting, 1)
	rest, err := io.ReadAll(w.Body)
	require.NoError(t, err)
	require.Equal(t, platformtest.Stream(), string(first)+string(rest))
	versions := map[string]bool{}
	for _, target := range f.targets {
		if countExecutions("id", []*platformtest.Target{target}) > 0 {
			versions[target.SoftwareVersion] = true
		}
	}
	require.Len(t, versions, 1)
}
