package gateway

import (
	"time"

	"vanillalug.example/crew"
	"vanillalug.example/platform"
)

// applyPlanRows puts the routing table among the rows in force.
func (g *Gateway) applyPlanRows(rows platform.Rows) {
	for _, r := range rows.All() {
		if platform.IsPlan(r) {
			g.applyPlan(r.Value(), r.Revision(), "store")
		}
	}
}

// applyPlan puts a routing table in force unless an equal or newer one is.
func (g *Gateway) applyPlan(raw []byte, revision uint64, source string) {
	p, err := platform.DecodePlan(raw)
	if err != nil {
		g.log.Error("routing table can't be read; the one in force stays", "source", source, "error", err)
		return
	}
	next := &planned{plan: p, raw: raw, revision: revision}
	for {
		old := g.plan.Load()
		if old != nil && old.plan.Version() >= p.Version() {
			return
		}
		if g.plan.CompareAndSwap(old, next) {
			break
		}
	}
	g.log.Info("routing table in force", "version", p.Version(), "source", source)
}

// applyTargetList believes the whole registry.
func (g *Gateway) applyTargetList(rows platform.Rows) {
	listed := crew.Snapshot{At: g.clock.Now(), Revision: rows.Revision()}
	for _, r := range rows.All() {
		t, err := platform.DecodeTarget(r)
		if err != nil {
			g.log.Warn("entry of the registry names no target", "id", r.Key(), "error", err)
			continue
		}
		listed.Targets = append(listed.Targets, t)
	}
	g.handle(listed)
}

// applyTargetRows believes changes of the registry.
func (g *Gateway) applyTargetRows(rows platform.Rows) {
	now := g.clock.Now()
	changes := make([]crew.Event, 0, len(rows.All()))
	for _, r := range rows.All() {
		if r.Deleted() {
			changes = append(changes, crew.Removed{At: now, ID: r.Key(), Revision: r.Revision()})
			continue
		}
		t, err := platform.DecodeTarget(r)
		if err != nil {
			g.log.Warn("entry of the registry names no target", "id", r.Key(), "error", err)
			changes = append(changes, crew.Removed{At: now, ID: r.Key(), Revision: r.Revision()})
			continue
		}
		changes = append(changes, crew.Changed{At: now, Target: t, Revision: r.Revision()})
	}
	if len(changes) > 0 {
		g.handle(crew.Batch{Changes: changes})
	}
}

// handle takes an event into the book and renews the posts where it changed
// anything.
func (g *Gateway) handle(e crew.Event) {
	g.bookMu.Lock()
	defer g.bookMu.Unlock()
	effects := g.book.Handle(e)
	g.logEffects(effects)
	if len(effects) > 0 {
		g.renew()
	}
	k := knowledge{revision: g.book.Revision(), digest: g.book.Digest()}
	if old := g.registry.Load(); old == nil || *old != k {
		g.registry.Store(&k)
	}
}

// maxLogged is how many effects of one event get a line each.
const maxLogged = 100

func (g *Gateway) logEffects(effects []crew.Effect) {
	for _, e := range effects[:min(len(effects), maxLogged)] {
		g.logEffect(e)
	}
	if more := len(effects) - maxLogged; more > 0 {
		g.log.Info("more targets changed", "targets", more, "revision", g.book.Revision())
	}
}

func (g *Gateway) logEffect(e crew.Effect) {
	revision := g.book.Revision()
	switch e := e.(type) {
	case crew.Joined:
		g.log.Info("target joined", "target", e.Target.Incarnation(), "service", e.Target.Service(),
			"address", e.Target.Address(), "revision", revision)
	case crew.Left:
		g.log.Info("target left", "target", e.Target.Incarnation(), "service", e.Target.Service(),
			"reason", e.Reason, "revision", revision)
	case crew.Confirmed:
		g.log.Info("target is back", "target", e.Target.Incarnation(), "service", e.Target.Service(), "revision", revision)
	case crew.Unconfirmed:
		g.log.Info("target lapsed while the store was away", "target", e.Target.Incarnation(), "revision", revision)
	}
}

// renew builds the posts of the usable targets, keeping those that stay. The
// caller holds bookMu.
func (g *Gateway) renew() {
	old := g.targets.Load()
	next := &targets{byService: map[string][]*post{}, byLifetime: map[string]*post{}}
	for service, usable := range g.book.Usable() {
		for _, t := range usable {
			p, ok := old.byLifetime[t.Incarnation()]
			if !ok || p.target.Address() != t.Address() {
				p = newPost(t)
			}
			next.byService[service] = append(next.byService[service], p)
			next.byLifetime[t.Incarnation()] = p
		}
	}
	g.targets.Store(next)
	for lifetime, p := range old.byLifetime {
		if next.byLifetime[lifetime] != p {
			p.pool.Close()
		}
	}
}

// tidy lets time pass for the beliefs and closes connections that were idle
// for too long.
func (g *Gateway) tidy(now time.Time) {
	g.handle(crew.Tick{At: now})
	g.noticeFailing(now)
	for _, p := range g.targets.Load().byLifetime {
		p.pool.CloseExpired(now)
	}
}

// tidyInterval is the time between two runs of tidy.
const tidyInterval = 500 * time.Millisecond
