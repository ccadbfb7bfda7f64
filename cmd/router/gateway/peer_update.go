package gateway

import (
	"net/netip"
	"time"

	"vanillalug.example/crew"
	"vanillalug.example/peer"
)

func (g *Gateway) routerAddresses(in []*peer.RouterAddress) map[string]netip.AddrPort {
	out := make(map[string]netip.AddrPort, len(in))
	for _, r := range in {
		address, err := netip.ParseAddrPort(r.Address)
		if err != nil {
			g.log.Warn("cannot parse a router's address", "router", r.Name, "error", err)
			continue
		}
		if r.Name != g.cfg.Name {
			out[r.Name] = address
		}
	}
	return out
}

// registryUpdate decodes a peer's view of the registry: a snapshot, or the changes
// since digest.
func registryUpdate(reply *peer.GetBeliefsReply, digest uint64, now time.Time) crew.Event {
	if !reply.Partial {
		return registrySnapshot(reply.Targets, reply.RegistryRevision, now)
	}
	out := crew.Delta{Digest: digest, Revision: reply.RegistryRevision}
	for _, c := range reply.Changes {
		if c.Target == nil {
			out.Changes = append(out.Changes, crew.Removed{At: now, ID: c.Removed, Revision: c.Revision})
			continue
		}
		out.Changes = append(out.Changes, crew.Changed{At: now, Target: targetFromProto(c.Target), Revision: c.Revision})
	}
	return out
}

// registrySnapshot decodes a peer's whole view of the registry.
func registrySnapshot(in []*peer.BelievedTarget, revision uint64, now time.Time) crew.Snapshot {
	out := crew.Snapshot{At: now, Revision: revision}
	for _, b := range in {
		t := targetFromProto(b)
		if b.Doubted {
			out.Unconfirmed = append(out.Unconfirmed, crew.UnconfirmedTarget{Target: t, TimeLeft: time.Duration(b.LeftMs) * time.Millisecond})
			continue
		}
		out.Targets = append(out.Targets, t)
	}
	return out
}

func targetFromProto(b *peer.BelievedTarget) crew.Target {
	state := crew.Ready
	if b.Leaving {
		state = crew.Draining
	}
	return crew.NewTarget(b.Id, b.Service, b.Address,
		crew.WithStartMillis(b.Born), crew.WithPlace(b.Place), crew.WithSlots(int(b.Slots)), crew.WithState(state))
}
