package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/crew"
	"vanillalug.example/platform"
	"vanillalug.example/rota"
)

const (
	// registryWait is how long the store may hold the feed of the registry
	// without changes. It bounds how long a store that fell silent is believed
	// to be there.
	registryWait = 2 * time.Second
	// planWait is longer: this feed is asked again when the registry's is back.
	planWait = 20 * time.Second
	// feedSlack is how much longer than the wait an answer may take.
	feedSlack   = 700 * time.Millisecond
	pageTimeout = 1500 * time.Millisecond
	// maxReadingTime is how long a table may take to be read; the history of
	// the store must reach back to the first page.
	maxReadingTime = 12 * time.Second
	// feedPause lets changes that come together be read together.
	feedPause = 250 * time.Millisecond
	// restTime is how long a router relies on its peers before it asks the
	// store again, restInterval how often it looks whether it still may.
	restTime     = time.Minute
	restInterval = 250 * time.Millisecond
	// retryDelay is the first delay after a failed call; it is spread by half.
	retryDelay    = 120 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxStartDelay holds while this router knows nothing of a table.
	maxStartDelay = 200 * time.Millisecond
)

// errInterrupted ends a call whose answer is needed sooner.
var errInterrupted = errors.New("interrupted")

// watchers follow the tables of the store.
type watchers struct {
	plan     *watcher
	registry *watcher
}

func (g *Gateway) newWatchers() watchers {
	plan := &watcher{
		g: g, name: "routing-table", wait: planWait,
		read: g.store.ReadPlan, feed: g.store.PlanChanges,
		listed: g.applyPlanRows, fed: g.applyPlanRows,
	}
	registry := &watcher{
		g: g, name: "registry", wait: registryWait,
		read: g.store.ReadTargets, feed: g.store.TargetChanges,
		listed: g.applyTargetList, fed: g.applyTargetRows,
		lost: func(now time.Time) { g.handle(crew.RegistryLost{At: now}) },
		regained: func(now time.Time) {
			g.handle(crew.RegistryRecovered{At: now})
			// What the other feed waits for may have been lost with its channel.
			plan.interrupt()
		},
	}
	return watchers{plan: plan, registry: registry}
}

// watcher follows one table of the store: it is read whole, then changes since
// then.
type watcher struct {
	g        *Gateway
	name     string
	wait     time.Duration
	read     func() *platform.TableReader
	feed     func(context.Context, uint64, time.Duration) (platform.Rows, error)
	listed   func(platform.Rows)
	fed      func(platform.Rows)
	lost     func(time.Time)
	regained func(time.Time)

	failures int
	// reading is a table that is not read to its end yet.
	reading *platform.TableReader
	begun   time.Time

	mu     sync.Mutex
	cancel context.CancelCauseFunc
	since  uint64
	heard  time.Time
}

// onDuty reports whether this router follows the store itself.
func (g *Gateway) onDuty() bool { return rota.FollowsStore(g.cfg.Name, g.peers.lately()) }

// advance takes in that everything up to a revision is known.
func (w *watcher) advance(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.since > 0 {
		w.since = max(w.since, revision)
	}
}

func (w *watcher) reach() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.since
}

func (w *watcher) restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = 0
}

// fresh reports whether the store was heard within the time of a feed.
func (w *watcher) fresh() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.g.clock.Now().Sub(w.heard) < w.wait+feedSlack+feedPause
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
	changed, err := w.step(call)
	meter.CountBy("store_calls", "table", w.name, "ok", strconv.FormatBool(err == nil))
	switch {
	case ctx.Err() != nil:
	case errors.Is(context.Cause(call), errInterrupted):
	case err != nil:
		meter.ObserveBy("store_failure", w.g.clock.Now().Sub(start), "table", w.name)
		w.failed(err)
		sleep(ctx, w.delay())
	case changed && w.g.onDuty():
		sleep(call, feedPause)
	default:
		w.rest(call)
	}
}

// rest waits while enough peers follow the store; what they hear, they tell.
func (w *watcher) rest(ctx context.Context) {
	end := w.g.clock.Now().Add(restTime/2 + rand.N(restTime))
	for ctx.Err() == nil && w.g.clock.Now().Before(end) && !w.g.onDuty() {
		sleep(ctx, restInterval)
	}
}

// interrupt ends the call in progress, so that the store is asked again at once.
func (w *watcher) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancel != nil {
		w.cancel(errInterrupted)
	}
}

// step makes one call; it reports whether it brought any change.
func (w *watcher) step(ctx context.Context) (changed bool, err error) {
	since := w.reach()
	if since == 0 {
		return true, w.readTable(ctx)
	}
	wait := w.wait
	if !w.g.onDuty() {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+feedSlack)
	defer cancel()
	rows, err := w.feed(ctx, since, wait)
	var gone *platform.CompactedError
	if errors.As(err, &gone) {
		w.g.log.Warn("history of the store is gone; listing again", "table", w.name, "since", gone.Since)
		w.restart()
		return true, nil
	}
	if err != nil {
		return false, err
	}
	w.succeeded(rows)
	w.fed(rows)
	return len(rows.All()) > 0, nil
}

func (w *watcher) failed(err error) {
	w.failures++
	if w.failures > 1 {
		return
	}
	w.g.log.Warn("lost the store", "table", w.name, "since", w.reach(), "error", err)
	if w.lost != nil {
		w.lost(w.g.clock.Now())
	}
}

func (w *watcher) succeeded(rows platform.Rows) {
	w.mu.Lock()
	w.since = max(w.since, rows.Revision())
	w.heard = w.g.clock.Now()
	w.mu.Unlock()
	if w.failures == 0 {
		return
	}
	w.g.log.Info("regained the store", "table", w.name, "since", rows.Revision(), "failures", w.failures)
	w.failures = 0
	if w.regained != nil {
		w.regained(w.g.clock.Now())
	}
}

func (w *watcher) delay() time.Duration {
	longest := maxRetryDelay
	if w.reach() == 0 {
		longest = maxStartDelay
	}
	d := min(retryDelay<<min(w.failures-1, 4), longest)
	return d/2 + rand.N(d)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
