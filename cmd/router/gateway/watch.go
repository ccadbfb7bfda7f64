package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/crew"
	"vanillalug.example/platform"
	"vanillalug.example/reception"
	"vanillalug.example/rota"
)

const (
	// registryPollTime is how long the store may hold a long poll of the registry
	// without changes. It bounds how long an unresponsive store goes undetected.
	registryPollTime = 2 * time.Second
	// tablePollTime is the same: a poll that begins while the store is silent is never answered.
	tablePollTime = registryPollTime
	// pollGrace is how much later than the poll time a response may begin, and how
	// long it may then stop arriving.
	pollGrace = 700 * time.Millisecond
	// pageTimeout is the same for a page of a table that is read whole.
	pageTimeout = 1500 * time.Millisecond
	// maxTableReadTime is how long reading a table may take; the store's history
	// must still include the revision of the first page.
	maxTableReadTime = 12 * time.Second
	// batchDelay is the pause before the next poll, so that changes in quick
	// succession are read together.
	batchDelay = 250 * time.Millisecond
	// followerPollInterval is the mean time between polls of a router that gets
	// changes from its peers, roleCheckInterval how often it checks its role.
	followerPollInterval = time.Minute
	roleCheckInterval    = 250 * time.Millisecond
	// retryDelay is the first delay after a failed call, with a jitter of ±50%.
	retryDelay    = 120 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxIdleRetryDelay applies to routers that get changes from their peers.
	maxIdleRetryDelay = 4 * time.Second
	// maxDoublings bounds how often the retry delay is doubled.
	maxDoublings = 6
	// maxInitialRetryDelay applies while this router has never read the table.
	maxInitialRetryDelay = 200 * time.Millisecond
)

// errInterrupted cancels a poll in progress, so that the next one starts at once.
var errInterrupted = errors.New("interrupted")

// watchers follow the tables of the store.
type watchers struct {
	table    *watcher
	registry *watcher
}

func (g *Gateway) newWatchers() watchers {
	table := &watcher{
		g: g, name: "routing-table", pollTime: tablePollTime,
		newReader: g.store.ReadRoutingTable, poll: g.store.RoutingTableChanges,
		onSnapshot: g.applyTableSnapshot, onChanges: g.applyTableChanges,
	}
	registry := &watcher{
		g: g, name: "registry", pollTime: registryPollTime,
		newReader: g.store.ReadTargets, poll: g.store.TargetChanges,
		onSnapshot: g.applyTargetSnapshot, onChanges: g.applyTargetChanges,
		onCurrent: func(now time.Time) { g.softwareVersions.Confirm(false, now) },
		onLost:    func(now time.Time) { g.updateView(crew.RegistryLost{At: now}) },
		onRecovered: func(now time.Time) {
			g.updateView(crew.RegistryRecovered{At: now})
			// The connection of the other poll may have been lost as well.
			table.interrupt()
		},
	}
	return watchers{table: table, registry: registry}
}

// watcher follows one table of the store: it reads the whole table, then polls
// for changes.
type watcher struct {
	g           *Gateway
	name        string
	pollTime    time.Duration
	newReader   func() *platform.TableReader
	poll        func(context.Context, vanillalug.StoreRevision, time.Duration) (platform.Rows, error)
	onSnapshot  func(platform.Rows)
	onChanges   func(platform.Rows)
	onLost      func(time.Time)
	onRecovered func(time.Time)
	// onCurrent is called after everything of a response was handled; nil for none.
	onCurrent func(time.Time)

	failures int
	// reader reads the whole table; nil after the last page.
	reader    *platform.TableReader
	readStart time.Time

	mu          sync.Mutex
	cancel      context.CancelCauseFunc
	call        context.Context          // of the call in progress; nil if there is none
	revision    vanillalug.StoreRevision // changes up to here are known; zero before the first full read
	lastSuccess time.Time
}

// followsStore reports whether this router polls the store itself.
func (g *Gateway) followsStore() bool {
	alive := g.peers.alive()
	self := rota.Peer{Name: g.cfg.Name, LinkMbps: g.cfg.LinkMbps}
	return rota.FollowsStore(self, alive, g.peers.followerShortage(rota.TooFewFollowers(alive)))
}

// advance records that all changes up to a revision were received from a peer, or the
// whole table as of it. One of an epoch that has ended counts for nothing.
func (w *watcher) advance(revision vanillalug.StoreRevision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if revision.Epoch() < w.g.storeEpoch.Load() {
		return
	}
	if revision.After(w.revision) {
		w.revision = revision
	}
}

func (w *watcher) knownRevision() vanillalug.StoreRevision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

func (w *watcher) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = vanillalug.StoreRevision{}
}

// resetBefore makes the whole table be read next if it was read in an epoch before. A poll would
// wait although the store has assigned revisions up to the known one again.
func (w *watcher) resetBefore(epoch uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision.Epoch() < epoch {
		w.revision = vanillalug.StoreRevision{}
	}
}

// fresh reports whether the last successful poll is recent.
func (w *watcher) fresh() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.g.clock.Now().Sub(w.lastSuccess) < w.pollTime+pollGrace+batchDelay
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.runOnce(ctx)
	}
}

func (w *watcher) runOnce(ctx context.Context) {
	call, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.mu.Lock()
	w.cancel = cancel
	w.mu.Unlock()
	start := w.g.clock.Now()
	changed, err := w.pollOnce(call)
	meter.CountBy("store_calls", "table", w.name, "ok", strconv.FormatBool(err == nil))
	switch {
	case ctx.Err() != nil:
	case errors.Is(context.Cause(call), errInterrupted):
	case err != nil:
		meter.ObserveBy("store_failure", w.g.clock.Now().Sub(start), "table", w.name)
		w.recordFailure(err)
		sleep(ctx, w.retryBackoff())
	case w.knownRevision().IsZero():
		// The whole table is read next.
	case changed && w.g.followsStore():
		sleep(call, batchDelay)
	default:
		w.waitForRole(call)
	}
}

// waitForRole waits while enough peers poll the store and send their changes.
func (w *watcher) waitForRole(ctx context.Context) {
	end := w.g.clock.Now().Add(followerPollInterval/2 + rand.N(followerPollInterval))
	for ctx.Err() == nil && w.g.clock.Now().Before(end) && !w.g.followsStore() {
		sleep(ctx, roleCheckInterval)
	}
}

// pollOnce makes one call and reports whether it returned any change.
func (w *watcher) pollOnce(ctx context.Context) (changed bool, err error) {
	since := w.knownRevision()
	if since.IsZero() {
		return true, w.readTable(ctx)
	}
	pollTime := w.pollTime
	if !w.g.followsStore() {
		pollTime = 0
	}
	ctx, cancel := reception.WithIdleTimeout(ctx, pollTime+pollGrace, pollGrace)
	defer cancel()
	w.startCall(ctx)
	defer w.endCall()
	rows, err := w.poll(ctx, since, pollTime)
	if mustReadWhole(err, since) {
		w.g.log.Warn("reading the whole table", "table", w.name, "reason", err)
		w.reset()
		return true, nil
	}
	if err != nil {
		return false, err
	}
	w.recordSuccess(rows)
	w.onChanges(rows)
	w.reportCurrent()
	return len(rows.All()) > 0, nil
}

// reportCurrent reports that everything of a response was handled.
func (w *watcher) reportCurrent() {
	if w.onCurrent != nil {
		w.onCurrent(w.g.clock.Now())
	}
}

func (w *watcher) recordFailure(err error) {
	w.failures++
	if w.failures > 1 {
		return
	}
	w.g.log.Warn("lost the store", "table", w.name, "since", w.knownRevision(), "error", err)
	if w.onLost != nil {
		w.onLost(w.g.clock.Now())
	}
}

func (w *watcher) recordSuccess(rows platform.Rows) {
	w.g.observeEpoch(rows.Revision().Epoch())
	w.mu.Lock()
	if rows.Revision().After(w.revision) {
		w.revision = rows.Revision()
	}
	w.lastSuccess = w.g.clock.Now()
	w.mu.Unlock()
	if w.failures == 0 {
		return
	}
	w.g.log.Info("regained the store", "table", w.name, "since", rows.Revision(), "failures", w.failures)
	w.failures = 0
	if w.onRecovered != nil {
		w.onRecovered(w.g.clock.Now())
	}
}
