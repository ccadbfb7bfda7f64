package gateway

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/edition"
	"vanillalug.example/plan"
)

const (
	// rolloutReadDelay is the time that the router that writes to the store has for a new software
	// version before the others look for it, and rolloutReadInterval the time between two reads.
	rolloutReadDelay    = 30 * time.Millisecond
	rolloutReadInterval = 150 * time.Millisecond
)

// rollouts keep streams from beginning at a software version that the store doesn't have yet.
type rollouts struct {
	*edition.Rollout
	// seen wakes the router that writes to the store when there is a new version.
	seen chan struct{}
	// waiting says that a version waits for the store.
	waiting atomic.Bool
	// nextRead is when the store is read next, in Unix nanoseconds.
	nextRead atomic.Int64
}

func newRollouts() *rollouts {
	return &rollouts{Rollout: edition.NewRollout(), seen: make(chan struct{}, 1)}
}

// observeVersions records the software versions of all targets that are registered now.
func (g *Gateway) observeVersions(now time.Time) {
	versions := g.view.SoftwareVersions()
	g.softwareVersions.Observe(versions, now)
	r := g.rollouts
	if r.Observe(versions, now) {
		g.log.Info("new software version; streams begin there once the store has it")
		r.nextRead.Store(now.Add(rolloutReadDelay).UnixNano())
		select {
		case r.seen <- struct{}{}:
		default:
		}
	}
	r.waiting.Store(r.Waiting(now))
}

// mayBegin leaves out the upstreams at whose software version no stream may begin yet. If none is left,
// it returns all.
func (t *transaction) mayBegin(upstreams []*upstream, now time.Time) []*upstream {
	if t.route.Kind() != plan.Streaming || t.origin != nil || !t.g.rollouts.waiting.Load() {
		return upstreams
	}
	out := make([]*upstream, 0, len(upstreams))
	for _, u := range upstreams {
		if t.g.rollouts.MayBegin(t.service, u.target.SoftwareVersion(), now) {
			out = append(out, u)
		}
	}
	if len(out) == 0 {
		return upstreams
	}
	return out
}

// checkRollouts reads which software versions the store has if one waits for it, in the background.
func (g *Gateway) checkRollouts(now time.Time) {
	r := g.rollouts
	next := r.nextRead.Load()
	if !r.waiting.Load() || now.UnixNano() < next {
		return
	}
	if r.nextRead.CompareAndSwap(next, now.Add(rolloutReadInterval).UnixNano()) {
		go g.readRollouts()
	}
}

func (g *Gateway) readRollouts() {
	ctx, cancel := context.WithTimeout(context.Background(), readVersionsTimeout)
	defer cancel()
	stored, err := g.readVersions(ctx, 0)
	meter.CountBy("rollout_reads", "ok", strconv.FormatBool(err == nil))
	if err != nil {
		g.log.Warn("cannot read whether the store has a new software version", "error", err)
		return
	}
	g.confirmRollouts(stored)
}

// confirmRollouts lets streams begin at the software versions that the store has.
func (g *Gateway) confirmRollouts(stored map[string]edition.Stored) {
	now := g.clock.Now()
	g.rollouts.Confirm(stored)
	waiting := g.rollouts.Waiting(now)
	if g.rollouts.waiting.Swap(waiting) && !waiting {
		g.log.Info("the store has all software versions")
	}
}

// awaitNewVersion waits for storeVersionsInterval, or less if there is a new software version.
func (g *Gateway) awaitNewVersion(ctx context.Context) {
	timer := time.NewTimer(storeVersionsInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.rollouts.seen:
	}
}
