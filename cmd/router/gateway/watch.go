package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"vanillalug.example/crew"
	"vanillalug.example/platform"
)

const (
	// feedWait is how long the store may hold a feed without changes.
	feedWait = 10 * time.Second
	// feedSlack is how much longer than the wait an answer may take.
	feedSlack   = 2 * time.Second
	listTimeout = 2 * time.Second
	// retryDelay is the first delay after a failed call; it is spread by half.
	retryDelay    = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
)

// watchPlan keeps the routing table up to date.
func (g *Gateway) watchPlan(ctx context.Context) {
	w := &watcher{
		g: g, name: "routing-table",
		list:   g.store.Plan,
		feed:   g.store.PlanChanges,
		listed: func(rows platform.Rows) { g.applyPlanRows(rows) },
		fed:    func(rows platform.Rows) { g.applyPlanRows(rows) },
	}
	w.run(ctx)
}

// watchTargets keeps the beliefs about targets up to date.
func (g *Gateway) watchTargets(ctx context.Context) {
	w := &watcher{
		g: g, name: "registry",
		list: g.store.Targets,
		feed: g.store.TargetChanges,
		listed: func(rows platform.Rows) {
			g.applyTargetList(rows)
		},
		fed:      func(rows platform.Rows) { g.applyTargetRows(rows) },
		lost:     func(now time.Time) { g.handle(crew.Lost{At: now}) },
		regained: func(now time.Time) { g.handle(crew.Regained{At: now}) },
	}
	w.run(ctx)
}

// watcher follows one table of the store: a list, then changes since then.
type watcher struct {
	g        *Gateway
	name     string
	list     func(context.Context) (platform.Rows, error)
	feed     func(context.Context, uint64, time.Duration) (platform.Rows, error)
	listed   func(platform.Rows)
	fed      func(platform.Rows)
	lost     func(time.Time)
	regained func(time.Time)

	since    uint64
	failures int
}

func (w *watcher) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.step(ctx)
		if err == nil || ctx.Err() != nil {
			continue
		}
		w.failed(err)
		sleep(ctx, w.delay())
	}
}

func (w *watcher) step(ctx context.Context) error {
	if w.since == 0 {
		return w.readList(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedSlack)
	defer cancel()
	rows, err := w.feed(ctx, w.since, feedWait)
	var gone *platform.HistoryGoneError
	if errors.As(err, &gone) {
		w.g.log.Warn("history of the store is gone; listing again", "table", w.name, "since", gone.Since)
		w.since = 0
		return nil
	}
	if err != nil {
		return err
	}
	w.succeeded()
	w.fed(rows)
	w.since = max(w.since, rows.Revision())
	return nil
}

func (w *watcher) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	rows, err := w.list(ctx)
	if err != nil {
		return err
	}
	w.succeeded()
	w.listed(rows)
	w.since = rows.Revision()
	return nil
}

func (w *watcher) failed(err error) {
	w.failures++
	if w.failures > 1 {
		return
	}
	w.g.log.Warn("lost the store", "table", w.name, "since", w.since, "error", err)
	if w.lost != nil {
		w.lost(w.g.clock.Now())
	}
}

func (w *watcher) succeeded() {
	if w.failures == 0 {
		return
	}
	w.g.log.Info("regained the store", "table", w.name, "since", w.since, "failures", w.failures)
	w.failures = 0
	if w.regained != nil {
		w.regained(w.g.clock.Now())
	}
}

func (w *watcher) delay() time.Duration {
	d := min(retryDelay<<min(w.failures-1, 4), maxRetryDelay)
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
