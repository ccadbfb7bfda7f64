package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/capacity"
	"vanillalug.example/lugtest/enginetest"
)

const simulationSeeds = 3

// simulated is the sum over all seeds of what callers got.
type simulated struct {
	requests, good, sends, overLimit int
	byEngine                         []int
}

func simulate(d enginetest.Deployment, p enginetest.SpeedPattern, policy func([]capacity.TargetKey) enginetest.SpeedPolicy) simulated {
	out := simulated{byEngine: make([]int, d.Engines)}
	for seed := range uint64(simulationSeeds) {
		r := enginetest.SimulateSpeeds(d, p, seed, policy, nil)
		out.requests += r.Requests
		out.good += r.Good
		out.overLimit += r.OverLimit
		for i, n := range r.Sends {
			out.byEngine[i] += n
			out.sends += n
		}
	}
	return out
}

// badShare returns the share of the requests that weren't good.
func (s simulated) badShare() float64 { return 1 - float64(s.good)/float64(s.requests) }

var (
	// statedNoise is slowness of some engines that is drawn anew every 600 ms.
	statedNoise = enginetest.SpeedPattern{NoiseShare: 0.15, NoiseFactor: 2.5, NoiseTime: 600 * time.Millisecond}
	// silentSlowdown is five times the time at some engines for 6 of 8 s.
	silentSlowdown = enginetest.SpeedPattern{SilentShare: 0.16, SilentFactor: 5, SilentEvery: 8 * time.Second, SilentTime: 6 * time.Second}
)

// TestSimulatedSpeeds guards against a model by which callers get less than by the loads alone, and
// against more requests than required at one engine: at most 3 in 100 above twice the mean load plus
// three. Load: 145 requests a second at 24 engines through 40 routers.
func TestSimulatedSpeeds(t *testing.T) {
	tests := map[string]struct {
		pattern enginetest.SpeedPattern
		// maxBad is the largest share of bad requests as a multiple of that by the loads alone,
		// beside one request in 200.
		maxBad float64
	}{
		"all as usual":                 {enginetest.SpeedPattern{}, 1},
		"speeds 1 to 3":                {enginetest.SpeedPattern{Speeds: []float64{1, 1.5, 2, 3}}, 1},
		"noise drawn every 600 ms":     {statedNoise, 1},
		"silent slowdown":              {silentSlowdown, 0.7},
		"silent slowdown, half full":   {silentSlowdown.WithLoad(1.5), 0.7},
		"noise, half as many requests": {statedNoise.WithLoad(0.5), 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := enginetest.SpeedDeployment(40, 24)
			model, loads := simulate(d, tt.pattern, enginetest.Model), simulate(d, tt.pattern, enginetest.Unobserved)
			t.Logf("bad: %.4f by the model, %.4f by the loads alone; %d of %d over the limit",
				model.badShare(), loads.badShare(), model.overLimit, model.sends)
			require.LessOrEqual(t, model.badShare(), tt.maxBad*loads.badShare()+0.005)
			require.LessOrEqual(t, model.overLimit, 3*model.sends/100)
		})
	}
}

// TestFastEnginesTakeMore guards against placement by numbers of requests alone. Load: speeds 1 to 3
// side by side.
func TestFastEnginesTakeMore(t *testing.T) {
	speeds := []float64{1, 1.5, 2, 3}
	s := simulate(enginetest.SpeedDeployment(40, 24), enginetest.SpeedPattern{Speeds: speeds}, enginetest.Model)
	bySpeed := make([]int, len(speeds))
	for i, n := range s.byEngine {
		bySpeed[i%len(speeds)] += n
	}
	t.Log(bySpeed)
	for i := range bySpeed[1:] {
		require.Greater(t, bySpeed[i], bySpeed[i+1])
	}
}

// TestManyRouters guards against estimates that need more observations than one router has. Load:
// 131 routers that each send a request to each of 60 engines in about 30 s; some engines are slow
// without saying so. Two seconds after the beginning most of them are known at one router, and four
// seconds after the end none counts as slow; nor does another engine at any time. A datagram has 200
// bytes of observations on average at most.
func TestManyRouters(t *testing.T) {
	const routers, engines, reportBytes, maxBytes = 131, 60, 33, 200
	const known, normal = 1.8, 1.5
	slow, noticed, wrong, quiet := 0, 0, 0, 0
	watch := func(at time.Duration, p enginetest.SpeedPolicy, states []enginetest.SpeedState) {
		inPeriod := at % silentSlowdown.SilentEvery
		for _, e := range states {
			estimate := p.(*enginetest.OnlineModel).Estimate(e.Key, clock(at)).Slowness()
			switch {
			case e.Slowness > known && inPeriod >= 2*time.Second && inPeriod < silentSlowdown.SilentTime:
				slow++
				if estimate > known {
					noticed++
				}
			case e.Slowness < known && inPeriod >= 2*time.Second && inPeriod < silentSlowdown.SilentTime:
				quiet++
				if estimate > known {
					wrong++
				}
			}
		}
	}
	p := silentSlowdown.WithLoad(0.72)
	r := enginetest.SimulateSpeeds(enginetest.SpeedDeployment(routers, engines), p, 1, enginetest.Model, watch)
	t.Logf("%d of %d slow ones noticed, %d of %d others wrongly; %.1f reports in a datagram; good %.4f", noticed, slow, wrong, quiet, r.Reports, r.GoodShare())
	require.Greater(t, slow, 30)
	require.Greater(t, noticed, slow*7/10)
	require.Less(t, wrong, quiet/50)
	require.LessOrEqual(t, r.Reports*reportBytes, float64(maxBytes))
}

// TestSlowCallers guards against a target being taken for slow as its callers are. Load: every fifth
// caller takes 200 ms to read an event. No estimate is further from the usual than with quick callers.
func TestSlowCallers(t *testing.T) {
	highest := func(slowCallers float64) float64 {
		out := 0.
		watch := func(at time.Duration, p enginetest.SpeedPolicy, states []enginetest.SpeedState) {
			for _, e := range states {
				out = max(out, p.(*enginetest.OnlineModel).Estimate(e.Key, clock(at)).Slowness())
			}
		}
		enginetest.SimulateSpeeds(enginetest.SpeedDeployment(40, 24), enginetest.SpeedPattern{SlowCallers: slowCallers}, 1, enginetest.Model, watch)
		return out
	}
	const noise = 0.2
	require.Less(t, highest(0.2), highest(0)+noise)
}

// clock returns the simulated time of day.
func clock(at time.Duration) time.Time { return time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC).Add(at) }
