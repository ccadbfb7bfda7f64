package gateway

import (
	"time"

	"vanillalug.example"
	"vanillalug.example/amendment"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/crew"
	"vanillalug.example/fitting"
	"vanillalug.example/platform"
	"vanillalug.example/quota"
)

// applyTableRows activates the routing table among the rows.
func (g *Gateway) applyTableRows(rows platform.Rows) {
	for _, r := range rows.All() {
		if platform.IsRoutingTable(r) {
			countTableTransfer(tableFromStore, "whole", len(r.Value()))
			g.applyTable(&activeTable{raw: r.Value(), revision: r.Revision()}, sourceStore)
		}
	}
}

// applyTable decodes the text of a routing table and activates it unless the active one
// is as new or newer.
func (g *Gateway) applyTable(next *activeTable, source string) {
	if g.table.Load().includes(next.revision) {
		return
	}
	table, err := platform.DecodeRoutingTable(next.raw)
	if err != nil {
		g.log.Error("cannot decode the routing table; keeping the active one", "source", source, "error", err)
		return
	}
	next.table = table
	for {
		old := g.table.Load()
		if old != nil && old.table.Version() >= table.Version() {
			return
		}
		next.continueSeries(old)
		// Before and after, so that no request finds a target warm, and none that joins is missed.
		g.refreshCold(table)
		if g.table.CompareAndSwap(old, next) {
			g.refreshCold(table)
			break
		}
	}
	lag, calls := g.tableLag.activate(table.Version(), g.clock.Now())
	meter.ObserveBy("routing_table_lag", lag)
	g.log.Info("routing table in force", "version", table.Version(), "source", source, "bytes", len(next.raw),
		"revision", next.revision, "known-for", lag.String(), "calls-to-peers", calls)
}

// continueSeries sets the texts of a table that follows another one, which may be nil.
func (a *activeTable) continueSeries(old *activeTable) {
	var before *amendment.Series
	if old != nil {
		before = old.series
	}
	a.series = amendment.NewSeries(a.raw, before)
	if len(a.difference) > 0 {
		a.series.Adopt(a.base, a.difference)
	}
}

// includes reports whether the table is as of a revision of the store or later, so that
// the text at that revision needn't be decoded. A nil table includes nothing; a zero
// revision, of a peer that didn't state it, is in none.
func (a *activeTable) includes(revision vanillalug.StoreRevision) bool {
	return a != nil && !revision.IsZero() && a.revision.Epoch() == revision.Epoch() && !revision.After(a.revision)
}

// applyTargetSnapshot replaces the view of the registry by all of its rows.
func (g *Gateway) applyTargetSnapshot(rows platform.Rows) {
	snapshot := crew.Snapshot{At: g.clock.Now(), Revision: rows.Revision()}
	for _, r := range rows.All() {
		t, err := platform.DecodeTarget(r)
		if err != nil {
			g.ignoreEntry(r.Key(), err)
			continue
		}
		g.ignoredEntries.remove(r.Key())
		g.observeColdEntry(t)
		snapshot.Targets = append(snapshot.Targets, t)
	}
	g.updateView(snapshot)
}

// applyTargetChanges applies changed rows of the registry to the view. An entry
// that can't be decoded counts as removed.
func (g *Gateway) applyTargetChanges(rows platform.Rows) {
	now := g.clock.Now()
	changes := make([]crew.Event, 0, len(rows.All()))
	for _, r := range rows.All() {
		if r.Deleted() {
			g.ignoredEntries.remove(r.Key())
			changes = append(changes, crew.Removed{At: now, ID: r.Key(), Revision: r.Revision()})
			continue
		}
		t, err := platform.DecodeTarget(r)
		if err != nil {
			g.ignoreEntry(r.Key(), err)
			changes = append(changes, crew.Removed{At: now, ID: r.Key(), Revision: r.Revision()})
			continue
		}
		g.ignoredEntries.remove(r.Key())
		g.observeColdEntry(t)
		changes = append(changes, crew.Changed{At: now, Target: t, Revision: r.Revision()})
	}
	if len(changes) > 0 {
		g.updateView(crew.Batch{Changes: changes})
	}
}

// updateView applies an event to the view of the registry and rebuilds the
// upstreams if that had any effect.
func (g *Gateway) updateView(e crew.Event) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	effects := g.view.Handle(e)
	g.logEffects(effects)
	if len(effects) > 0 {
		g.presumeCold(effects)
		g.rebuildUpstreams()
		g.presumeBrittle(effects)
		g.verifyReturned(effects)
	}
	g.observeVersions(g.clock.Now())
	g.observeEpoch(g.view.Revision().Epoch())
	version := versions{registry: g.view.Revision(), registryDigest: g.view.Digest()}
	old := g.registryVersion.Load()
	if old == nil || *old != version {
		g.registryVersion.Store(&version)
	}
	if old == nil || old.registryDigest != version.registryDigest || len(effects) > 0 {
		g.rebuildCopySources()
	}
}

// presumeBrittle takes targets that have just started for brittle if others of their service are.
func (g *Gateway) presumeBrittle(effects []crew.Effect) {
	upstreams := g.upstreams.Load()
	for _, e := range effects {
		joined, ok := e.(crew.Joined)
		if !ok {
			continue
		}
		var service []quota.TargetKey
		for _, u := range upstreams.byService[joined.Target.Service()] {
			service = append(service, u.limitKey())
		}
		g.limits.PresumeBrittle(quota.TargetKey(fitting.KeyOf(joined.Target.Incarnation())), service, g.clock.Now())
	}
}

// maxLoggedEffects is how many effects of one event are logged one by one.
const maxLoggedEffects = 100

func (g *Gateway) logEffects(effects []crew.Effect) {
	for _, e := range effects[:min(len(effects), maxLoggedEffects)] {
		g.logEffect(e)
	}
	if more := len(effects) - maxLoggedEffects; more > 0 {
		g.log.Info("more targets changed", "targets", more, "revision", g.view.Revision())
	}
}

func (g *Gateway) logEffect(e crew.Effect) {
	revision := g.view.Revision()
	switch e := e.(type) {
	case crew.Joined:
		g.log.Info("target joined", "target", e.Target.Incarnation(), "service", e.Target.Service(),
			"address", e.Target.Address(), "software", e.Target.SoftwareVersion(), "revision", revision)
	case crew.Left:
		g.log.Info("target left", "target", e.Target.Incarnation(), "service", e.Target.Service(),
			"reason", e.Reason, "revision", revision)
	case crew.Confirmed:
		g.log.Info("target confirmed after the store recovered", "target", e.Target.Incarnation(), "service", e.Target.Service(), "revision", revision)
	case crew.VersionLearned:
		g.log.Info("software version of a target learned", "target", e.Target.Incarnation(), "service", e.Target.Service(),
			"software", e.Target.SoftwareVersion(), "revision", revision)
	case crew.Returned:
		why := "a target's entry is back after its removal; not used before it says that it serves"
		if e.Earlier {
			why = "a target's entry may be of an earlier run; not used before it says that it serves as that"
			meter.CountBy("earlier_entries", "service", e.Target.Service())
		}
		g.log.Info(why, "target", e.Target.Incarnation(), "service", e.Target.Service(), "revision", revision)
	case crew.Unconfirmed:
		g.log.Info("target lapsed while the store was away", "target", e.Target.Incarnation(), "revision", revision)
	}
}

// rebuildUpstreams builds the upstreams of the usable targets and keeps existing
// ones. The caller holds viewMu.
func (g *Gateway) rebuildUpstreams() {
	old, now := g.upstreams.Load(), g.clock.Now()
	next := newUpstreamSet()
	for service, usable := range g.view.Usable() {
		for _, t := range usable {
			if g.evacuations.has(t.Place()) {
				next.evacuated[fitting.KeyOf(t.Incarnation())] = t
				continue
			}
			u, ok := old.byIncarnation[t.Incarnation()]
			if !ok || u.target.Address() != t.Address() || u.target.SoftwareVersion() != t.SoftwareVersion() || u.target.Place() != t.Place() {
				u = newUpstream(t, g.targetStates.get(t.Incarnation(), now), g.dialTarget)
			}
			next.byService[service] = append(next.byService[service], u)
			next.byIncarnation[t.Incarnation()] = u
		}
	}
	g.upstreams.Store(next)
	g.setCapacityTargets(next)
	for incarnation, u := range old.byIncarnation {
		if next.byIncarnation[incarnation] != u {
			u.pool.Close()
		}
	}
}

// maintain handles timeouts in the view of the registry and closes connections
// that have been idle for too long.
func (g *Gateway) maintain(now time.Time) {
	if g.stalls.tick(now) {
		g.log.Warn("the router stood still; versions that it has missed are unknown")
		g.softwareVersions.Interrupt(now)
	}
	g.updateView(crew.Tick{At: now})
	g.logFailingTargets(now)
	g.maintainEvacuations(now)
	g.reportTableLag(now)
	g.logCold(now)
	g.reportSlowTargets(now)
	g.reportDefects(now)
	if g.table.Load() != nil {
		g.logbook.LimitWait(now)
	}
	upstreams := g.upstreams.Load()
	g.forgetLimits(g.targetStates.expire(upstreams.byIncarnation, now), now)
	g.detours.Retain(func(service string) bool { return len(upstreams.byService[service]) > 0 })
	for _, u := range upstreams.byIncarnation {
		u.pool.CloseExpired(now)
	}
}

// maintainInterval is the time between two runs of maintain.
const maintainInterval = 500 * time.Millisecond
