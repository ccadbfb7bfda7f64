package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"vanillalug.example/capacity"
	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/platform/platformtest"
)

// estimateOf returns a router's estimate of the first incarnation of a target.
func estimateOf(g *Gateway, id string) capacity.Estimate {
	// An estimate may be some time old.
	return g.capacity.Estimate(capacity.TargetKey(fitting.KeyOf(id+"/1")), time.Now().Add(time.Second/2))
}

// TestObserveCapacity checks what a router learns of a target's speed from one request, and guards
// against learning from broken and failed responses. Load: one request at a time.
func TestObserveCapacity(t *testing.T) {
	tests := map[string]struct {
		path      string
		behaviour platformtest.Behaviour
		served    bool
		pauses    bool
		full      bool
	}{
		"plain request":        {path: "/safe/x", behaviour: platformtest.Serve, served: true},
		"failed request":       {path: "/once/x", behaviour: platformtest.Fail},
		"no response":          {path: "/once/x", behaviour: platformtest.ResetAfter},
		"no HTTP response":     {path: "/once/x", behaviour: platformtest.Garbage},
		"truncated response":   {path: "/once/x", behaviour: platformtest.Truncate},
		"no room":              {path: "/short/x", behaviour: platformtest.Shed, full: true},
		"stream":               {path: "/broken/x", behaviour: platformtest.SlowStream, pauses: true},
		"stream without pause": {path: "/broken/x", behaviour: platformtest.LongStream},
		"endless event":        {path: "/broken/x", behaviour: platformtest.EndlessEvent},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tr := newTestRouter(t)
			service := plainService
			if tt.path == "/broken/x" {
				service = engineService
			}
			targets := tr.addTargets(service, "t1")
			tr.waitReady(1)
			targets[0].SetDefault(tt.behaviour)
			tr.post(tt.path, "a", "work")
			e := estimateOf(tr.g, "t1")
			require.Equal(t, tt.served, e.Served() > 0)
			require.Equal(t, tt.pauses, e.KnowsPauses())
			if tt.pauses {
				require.InDelta(t, float64(platformtest.SlowEventTime), float64(e.Predict(0, 0).Pause), float64(platformtest.SlowEventTime)/2)
			}
			full := !tr.g.capacity.Estimate(capacity.TargetKey(fitting.KeyOf("t1/1")), time.Now()).HasRoom(math.MaxInt)
			require.Equal(t, tt.full, full)
		})
	}
}

// TestRelayedRequestsAreNotObserved guards against the link between two routers being taken for a
// target's speed.
func TestRelayedRequestsAreNotObserved(t *testing.T) {
	f := newPartitionTestFleet(t, 2)
	f.cut(resetting, 1)
	f.waitRelaying(t, "/safe/x", plainService, 1)
	require.Eventually(t, func() bool { return f.routers[0].post("/safe/x", "relayed", "work").status == 200 }, waitTimeout, pollInterval)
	for _, tr := range f.routers {
		for _, target := range f.targets {
			require.Zero(t, estimateOf(tr.g, target.ID).Served())
		}
	}
	require.Equal(t, 200, f.routers[1].post("/safe/x", "own", "work").status)
	require.Positive(t, estimateOf(f.routers[1].g, f.targets[0].ID).Served(), "the median of the service")
}

// TestObservationsReachPeers checks that a peer learns what a router observed.
func TestObservationsReachPeers(t *testing.T) {
	f := newPartitionTestFleet(t, 2)
	require.Equal(t, 200, f.routers[0].post("/safe/x", "a", "work").status)
	require.Eventually(t, func() bool { return estimateOf(f.routers[1].g, f.targets[0].ID).Served() > 0 }, waitTimeout, pollInterval)
}

// TestWellFormed guards against pauses between pieces of a garbled stream.
func TestWellFormed(t *testing.T) {
	tests := map[string]struct {
		events string
		want   bool
	}{
		"events":              {platformtest.Stream(), true},
		"comment":             {": wait\n\n", true},
		"piece without field": {"id: 1\ndata\n\n", false},
		"other text":          {"upstream connect error\n\n", false},
		"nothing":             {"", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, wellFormed([]byte(tt.events))) })
	}
}

// TestObservationsInShare guards against datagrams that grow, and against figures that are lost on
// the way.
func TestObservationsInShare(t *testing.T) {
	const maxBytes = 40
	want := capacity.Report{
		Target: math.MaxUint64, Age: 1100 * time.Millisecond, Count: 4, SlownessPercent: 250, PrefillRate: 56.5, Pause: 36.25, Batch: 200, Served: 18.5,
	}
	share := &peer.Share{Observations: observationsToProto([]capacity.Report{want})}
	require.LessOrEqual(t, proto.Size(share), maxBytes)
	require.Equal(t, []capacity.Report{want}, observationsFromProto(share.Observations))
}
