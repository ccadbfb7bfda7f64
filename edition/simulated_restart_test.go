package edition

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// storeInterval is the time between two checks of what the store has.
const storeInterval = time.Second

// store writes to the store what one router that is up has seen.
func (f *simulatedFleet) store() {
	if f.now.Sub(start)%storeInterval >= step {
		return
	}
	r := f.routers[f.rng.IntN(len(f.routers))]
	if !r.up() || f.now.Sub(r.upSince) < 3*storeInterval {
		return
	}
	r.history.Recall(map[string]Stored{"models": f.stored}, f.now)
	for _, u := range Updates(map[string]Stored{"models": f.stored}, r.history.All(f.now)) {
		f.stored = Stored{Versions: u.Versions, Revision: f.stored.Revision + 1}
	}
}

// restartAll restarts all routers at once, each of which reads the registry as it is, and takes
// up the streams at several moments afterwards.
func (f *simulatedFleet) restartAll() {
	for _, r := range f.routers {
		r.start(f.now)
		r.history.Observe(map[string][]string{"models": f.targetsAt(f.now)}, f.now)
	}
	before := f.streams
	for range 30 {
		for _, s := range before {
			f.takeUp(s)
		}
		f.advance()
	}
}

// TestSimulatedRestartOfAllRouters checks that no stream whose record is lost with all routers goes
// on at another version, at whatever moment of a release they restart.
func TestSimulatedRestartOfAllRouters(t *testing.T) {
	for seed := range uint64(30) {
		f := newSimulatedFleet(seed, 18, 0.01)
		for range 40 + f.rng.IntN(500) {
			f.advance()
		}
		f.restartAll()
		require.Zero(t, f.wrong, "seed %d", seed)
	}
}

// TestSimulatedRestartWithoutReleases checks that all streams go on after a restart of all routers
// if the targets have had one version.
func TestSimulatedRestartWithoutReleases(t *testing.T) {
	for _, routers := range []int{18, 113, 195} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			f := newSimulatedFleet(uint64(routers), routers, 0.05)
			f.releases = false
			for range 60 {
				f.advance()
			}
			f.streams = f.streams[:min(len(f.streams), 300)]
			f.restartAll()
			require.Zero(t, f.wrong)
			require.Zero(t, f.rejected)
			require.NotZero(t, f.wentOn)
		})
	}
}
