package gateway

import (
	"context"

	"vanillalug.example"
	"vanillalug.example/cmd/router/logbook"
	"vanillalug.example/crew"
	"vanillalug.example/peer"
)

// GetBeliefs implements peer.Beliefs: it returns what is newer here than the
// versions in the request, or placements if the peer asks for them.
func (g *Gateway) GetBeliefs(_ context.Context, r *peer.GetBeliefsRequest) (*peer.GetBeliefsReply, error) {
	reply := &peer.GetBeliefsReply{From: g.cfg.Name, Defects: logbook.ToProto(g.defects.Reports(g.clock.Now()))}
	reply.DefectsComplete = g.logbook.Known()
	if r.From != nil {
		g.peers.add(g.routerAddresses([]*peer.RouterAddress{r.From}))
	}
	if r.Placements > 0 {
		g.addPlacements(reply, min(r.Placements, maxWarmUpPlacements))
		return reply, nil
	}
	g.addTable(reply, r)
	g.addEvacuations(reply)
	for name, a := range g.peers.all() {
		reply.Routers = append(reply.Routers, &peer.RouterAddress{Name: name, Address: a.String()})
	}
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	revision := g.view.Revision()
	reply.RegistryRevision, reply.RegistryEpoch = revision.Number(), revision.Epoch()
	if r.Starting {
		reply.Withdrawn = withdrawnToProto(g.view.Withdrawn())
	}
	asked := vanillalug.NewStoreRevision(r.RegistryEpoch, r.RegistryRevision)
	if !revision.After(asked) {
		return reply, nil
	}
	changes, known := g.view.ChangesSince(r.RegistryDigest, asked)
	if known && revision.Epoch() == asked.Epoch() {
		reply.Partial = true
		reply.Changes = changesToProto(changes)
		for _, c := range reply.Changes {
			g.addColdBelief(c.Target)
		}
		return reply, nil
	}
	reply.Withdrawn = withdrawnToProto(g.view.Withdrawn())
	for _, t := range g.view.Confirmed() {
		reply.Targets = append(reply.Targets, targetToProto(t))
	}
	for _, d := range g.view.Unconfirmed(g.clock.Now()) {
		t := targetToProto(d.Target)
		t.Doubted = true
		t.LeftMs = uint32(d.TimeLeft.Milliseconds())
		reply.Targets = append(reply.Targets, t)
	}
	for _, t := range reply.Targets {
		g.addColdBelief(t)
	}
	return reply, nil
}

// addPlacements adds up to limit placements for a router that has just started.
func (g *Gateway) addPlacements(reply *peer.GetBeliefsReply, limit uint32) {
	reply.Settled = g.warmedUp.Load()
	if !reply.Settled {
		return
	}
	for _, p := range g.cacheIndex.Newest(int(limit), g.clock.Now()) {
		reply.Placements = append(reply.Placements, &peer.Placement{Prompt: p.Prompt, Target: uint64(p.Target)})
	}
}

func changesToProto(changes []crew.Event) []*peer.BelievedChange {
	out := make([]*peer.BelievedChange, 0, len(changes))
	for _, c := range changes {
		switch c := c.(type) {
		case crew.Changed:
			out = append(out, &peer.BelievedChange{Revision: c.Revision.Number(), Target: targetToProto(c.Target)})
		case crew.Removed:
			out = append(out, &peer.BelievedChange{Revision: c.Revision.Number(), Removed: c.ID})
		}
	}
	return out
}

func targetToProto(t crew.Target) *peer.BelievedTarget {
	return &peer.BelievedTarget{
		Id: t.ID(), Born: t.StartMillis(), Address: t.Address(), Place: t.Place(), Service: t.Service(),
		Slots: uint32(max(t.Slots(), 0)), Leaving: t.State() == crew.Draining,
		Sequence: t.Sequence(), Written: t.Written(), SoftwareVersion: t.SoftwareVersion(),
	}
}

func withdrawnToProto(in []crew.WithdrawnTarget) []*peer.WithdrawnTarget {
	out := make([]*peer.WithdrawnTarget, 0, len(in))
	for _, w := range in {
		out = append(out, &peer.WithdrawnTarget{
			Id: w.Target.ID(), Born: w.Target.StartMillis(), Sequence: w.Target.Sequence(), Written: w.Target.Written(),
			Epoch: w.Revision.Epoch(), Revision: w.Revision.Number(), Final: w.Final,
		})
	}
	return out
}
