package gateway

import (
	"net/netip"
	"time"

	"vanillalug.example"
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
// since digest. An entry that can't be that of a target is left out, as this router would have:
// a peer of an older build may pass one on.
func registryUpdate(reply *peer.GetBeliefsReply, digest uint64, now time.Time) crew.Event {
	if !reply.Partial {
		return registrySnapshot(reply, now)
	}
	out := crew.Delta{Digest: digest, Revision: registryRevision(reply)}
	for _, c := range reply.Changes {
		revision := vanillalug.NewStoreRevision(reply.RegistryEpoch, c.Revision)
		if c.Target == nil {
			out.Changes = append(out.Changes, crew.Removed{At: now, ID: c.Removed, Revision: revision})
			continue
		}
		t := targetFromProto(c.Target)
		if t.Validate() != nil {
			out.Changes = append(out.Changes, crew.Removed{At: now, ID: t.ID(), Revision: revision})
			continue
		}
		out.Changes = append(out.Changes, crew.Changed{At: now, Target: t, Revision: revision})
	}
	return out
}

// registryRevision returns the position in the store of a peer's view of the
// registry.
func registryRevision(reply *peer.GetBeliefsReply) vanillalug.StoreRevision {
	return vanillalug.NewStoreRevision(reply.RegistryEpoch, reply.RegistryRevision)
}

// planRevision returns the position in the store of a peer's routing table.
func planRevision(reply *peer.GetBeliefsReply) vanillalug.StoreRevision {
	return vanillalug.NewStoreRevision(reply.PlanEpoch, reply.PlanRevision)
}

// registrySnapshot decodes a peer's whole view of the registry.
func registrySnapshot(reply *peer.GetBeliefsReply, now time.Time) crew.Snapshot {
	out := crew.Snapshot{At: now, Revision: registryRevision(reply), Withdrawn: withdrawnTargets(reply.Withdrawn)}
	for _, b := range reply.Targets {
		t := targetFromProto(b)
		if t.Validate() != nil {
			continue
		}
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
		crew.WithStartMillis(b.Born), crew.WithPlace(b.Place), crew.WithSlots(int(b.Slots)), crew.WithState(state), crew.WithSequence(b.Sequence), crew.WithWritten(b.Written),
		crew.WithSoftwareVersion(b.SoftwareVersion))
}

func withdrawnTargets(in []*peer.WithdrawnTarget) []crew.WithdrawnTarget {
	out := make([]crew.WithdrawnTarget, 0, len(in))
	for _, w := range in {
		out = append(out, crew.WithdrawnTarget{
			Target: crew.NewTarget(w.Id, "", "", crew.WithStartMillis(w.Born),
				crew.WithSequence(w.Sequence), crew.WithWritten(w.Written)),
			Revision: vanillalug.NewStoreRevision(w.Epoch, w.Revision),
			Final:    w.Final,
		})
	}
	return out
}
