package gateway

import (
	"net/netip"
	"time"

	"vanillalug.example/crew"
	"vanillalug.example/peer"
)

func (g *Gateway) routersOf(in []*peer.RouterAddress) map[string]netip.AddrPort {
	out := make(map[string]netip.AddrPort, len(in))
	for _, r := range in {
		address, err := netip.ParseAddrPort(r.Address)
		if err != nil {
			g.log.Warn("a router's address can't be read", "router", r.Name, "error", err)
			continue
		}
		if r.Name != g.cfg.Name {
			out[r.Name] = address
		}
	}
	return out
}

// news is a peer's word on the registry: all of it, or what has changed since
// the digest.
func news(reply *peer.GetBeliefsReply, digest uint64, now time.Time) crew.Event {
	if !reply.Partial {
		return listed(reply.Targets, reply.RegistryRevision, now)
	}
	out := crew.Delta{Digest: digest, Revision: reply.RegistryRevision}
	for _, c := range reply.Changes {
		if c.Target == nil {
			out.Changes = append(out.Changes, crew.Removed{At: now, ID: c.Removed, Revision: c.Revision})
			continue
		}
		out.Changes = append(out.Changes, crew.Changed{At: now, Target: targetOf(c.Target), Revision: c.Revision})
	}
	return out
}

// listed is a peer's word on the whole registry.
func listed(in []*peer.BelievedTarget, revision uint64, now time.Time) crew.Snapshot {
	out := crew.Snapshot{At: now, Revision: revision}
	for _, b := range in {
		t := targetOf(b)
		if b.Doubted {
			out.Unconfirmed = append(out.Unconfirmed, crew.UnconfirmedTarget{Target: t, TimeLeft: time.Duration(b.LeftMs) * time.Millisecond})
			continue
		}
		out.Targets = append(out.Targets, t)
	}
	return out
}

func targetOf(b *peer.BelievedTarget) crew.Target {
	state := crew.Ready
	if b.Leaving {
		state = crew.Draining
	}
	return crew.NewTarget(b.Id, b.Service, b.Address,
		crew.WithStartMillis(b.Born), crew.WithPlace(b.Place), crew.WithSlots(int(b.Slots)), crew.WithState(state))
}
