package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	step = 10 * time.Millisecond
	// shareSteps is the number of steps between two datagrams of a router, and groupSize
	// the number of peers that get each of them.
	shareSteps = 20
	groupSize  = 24
	// responseSteps is the longest time until the head of a response.
	responseSteps = 40
	// excusedTime is how long after a restart or a pause a router doesn't count.
	excusedTime = 5 * time.Second
	windowTime  = 4 * time.Second
	// contactTime is the time for all routers to know of a limit.
	contactTime = 5 * time.Second
	playTime    = 30 * time.Second
)

// TestSimulatedFleetKeepsLimits checks on simulated fleets that a target gets no more than
// one and a half times its limit and five in any four seconds from all routers together,
// though datagrams and calls are lost, and routers restart, pause and disagree on who is
// alive; and that most of what targets take is used.
func TestSimulatedFleetKeepsLimits(t *testing.T) {
	tests := map[string]struct {
		fleetCase
		minUsed float64
	}{
		"small fleet":                   {fleetCase{routers: 18, targets: 6, rate: 3.5, demand: 7}, 0.9},
		"grown fleet":                   {fleetCase{routers: 113, targets: 20, rate: 2.5, demand: 8}, 0.9},
		"large fleet":                   {fleetCase{routers: 195, targets: 30, rate: 2, demand: 6}, 0.9},
		"much more than the limit":      {fleetCase{routers: 195, targets: 10, rate: 1, demand: 40}, 0.9},
		"a limit of one in ten seconds": {fleetCase{routers: 113, targets: 10, rate: 0.1, demand: 2}, 0.7},
		"high limits":                   {fleetCase{routers: 18, targets: 2, rate: 100, demand: 300}, 0.9},
		"datagrams and calls are lost":  {fleetCase{routers: 113, targets: 20, rate: 2.5, demand: 8, lost: 0.1}, 0.9},
		"routers restart":               {fleetCase{routers: 18, targets: 6, rate: 3.5, demand: 12, stopEvery: time.Second}, 0.6},
		"routers of a large fleet":      {fleetCase{routers: 195, targets: 20, rate: 2, demand: 8, stopEvery: 300 * time.Millisecond}, 0.6},
		"routers pause":                 {fleetCase{routers: 18, targets: 6, rate: 3.5, demand: 12, stopEvery: time.Second, pause: true}, 0.6},
		"pauses, losses, new limits": {
			fleetCase{routers: 113, targets: 12, rate: 3, demand: 9, stopEvery: 500 * time.Millisecond, pause: true, lost: 0.05, changing: true}, 0.5,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				f := newSimulatedFleet(tt.fleetCase, seed)
				f.play()
				for target := range f.targets {
					require.LessOrEqual(t, float64(f.most(target)), 1.5*f.rate*windowTime.Seconds()+5, "target %d, seed %d", target, seed)
				}
				takes := f.rate * float64(f.targets) * (playTime - contactTime).Seconds()
				require.GreaterOrEqual(t, float64(f.granted), tt.minUsed*takes, "seed %d", seed)
			}
		})
	}
}
