package edition

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// storeInterval is the time between two checks of the versions that the store has, and
	// storeRecordsInterval that between two writes of records.
	storeInterval        = time.Second
	storeRecordsInterval = 500 * time.Millisecond
)

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

// storeRecord sends a record to the router that writes them to the store.
func (f *simulatedFleet) storeRecord(record Record) {
	if !f.lost() {
		f.backlog.Add(record, f.now)
	}
}

// storeRecords writes the records that wait.
func (f *simulatedFleet) storeRecords() {
	if f.now.Sub(start)%storeRecordsInterval >= step {
		return
	}
	r := f.routers[f.rng.IntN(len(f.routers))]
	for _, row := range f.backlog.Take(func(s string) bool { return r.history.Several(s, f.now) }, f.now) {
		f.storedRecords = append(f.storedRecords, row.Records...)
	}
}

// recallRecords reads them at a router, once.
func (f *simulatedFleet) recallRecords(r *simulatedRouter) {
	if r.recalled {
		return
	}
	r.recalled = true
	for _, record := range f.storedRecords {
		r.records.Add(record, f.now)
	}
}

// restartAll restarts all routers at once, each of which reads the registry as it is, and takes
// up the streams at several moments afterwards.
func (f *simulatedFleet) restartAll() {
	for _, r := range f.routers {
		r.start(f.now)
		r.history.Observe(map[string][]string{"models": f.targetsAt(f.now)}, f.now)
	}
	f.backlog = Backlog{}
	before := f.streams
	for range 30 {
		for _, s := range before {
			f.takeUp(s)
		}
		f.advance()
	}
}

// TestSimulatedRestartOfAllRouters checks that no stream goes on at another version after a restart
// of all routers, at whatever moment of a release, and that enough of them go on.
func TestSimulatedRestartOfAllRouters(t *testing.T) {
	for routers, seeds := range map[int]uint64{18: 30, 113: 2, 195: 1} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			wentOn, taken := 0, 0
			for seed := range seeds {
				f := newSimulatedFleet(seed, routers, 0.01)
				for range 40 + f.rng.IntN(500) {
					f.advance()
				}
				f.restartAll()
				require.Zero(t, f.wrong, "seed %d", seed)
				require.Greater(t, float64(f.wentOn), minShare*float64(f.wentOn+f.rejected), "seed %d", seed)
				wentOn += f.wentOn
				taken += f.wentOn + f.rejected
			}
			t.Logf("%d of %d went on", wentOn, taken)
		})
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
