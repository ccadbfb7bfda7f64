package gateway

import (
	"context"

	"vanillalug.example/crew"
	"vanillalug.example/peer"
)

// GetBeliefs implements peer.Beliefs.
func (g *Gateway) GetBeliefs(_ context.Context, r *peer.GetBeliefsRequest) (*peer.GetBeliefsReply, error) {
	out := &peer.GetBeliefsReply{From: g.cfg.Name}
	if r.From != nil {
		g.peers.add(g.routersOf([]*peer.RouterAddress{r.From}))
	}
	if r.Placements > 0 {
		g.tellPlacements(out, min(r.Placements, maxRecalled))
		return out, nil
	}
	if p := g.plan.Load(); p != nil {
		out.PlanVersion = p.plan.Version()
		if p.plan.Version() > r.PlanVersion && (r.Insist || len(p.raw) < longPlan) {
			out.Plan = p.raw
			out.PlanRevision = p.revision
		}
	}
	for name, a := range g.peers.all() {
		out.Routers = append(out.Routers, &peer.RouterAddress{Name: name, Address: a.String()})
	}
	g.bookMu.Lock()
	defer g.bookMu.Unlock()
	out.RegistryRevision = g.book.Revision()
	if out.RegistryRevision <= r.RegistryRevision {
		return out, nil
	}
	changes, enough := g.book.ChangesSince(r.RegistryDigest, r.RegistryRevision)
	if enough {
		out.Partial = true
		out.Changes = believedChanges(changes)
		return out, nil
	}
	for _, t := range g.book.Confirmed() {
		out.Targets = append(out.Targets, believed(t))
	}
	for _, d := range g.book.Unconfirmed(g.clock.Now()) {
		t := believed(d.Target)
		t.Doubted = true
		t.LeftMs = uint32(d.TimeLeft.Milliseconds())
		out.Targets = append(out.Targets, t)
	}
	return out, nil
}

// tellPlacements answers a router that has just started.
func (g *Gateway) tellPlacements(out *peer.GetBeliefsReply, limit uint32) {
	out.Settled = g.settled.Load()
	if !out.Settled {
		return
	}
	for _, p := range g.memory.Newest(int(limit), g.clock.Now()) {
		out.Placements = append(out.Placements, &peer.Placement{Prompt: p.Prompt, Target: uint64(p.Target)})
	}
}

func believedChanges(changes []crew.Event) []*peer.BelievedChange {
	out := make([]*peer.BelievedChange, 0, len(changes))
	for _, c := range changes {
		switch c := c.(type) {
		case crew.Changed:
			out = append(out, &peer.BelievedChange{Revision: c.Revision, Target: believed(c.Target)})
		case crew.Removed:
			out = append(out, &peer.BelievedChange{Revision: c.Revision, Removed: c.ID})
		}
	}
	return out
}

func believed(t crew.Target) *peer.BelievedTarget {
	return &peer.BelievedTarget{
		Id: t.ID(), Born: t.StartMillis(), Address: t.Address(), Place: t.Place(), Service: t.Service(),
		Slots: uint32(max(t.Slots(), 0)), Leaving: t.State() == crew.Draining,
	}
}
