package office

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"vanillalug.example/cmd/router/logbook"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/depot"
	"vanillalug.example/dispatch"
	"vanillalug.example/peer"
	"vanillalug.example/register"
	"vanillalug.example/roster"
)

const (
	// maxNotifiedPeers is the maximum number of peers that are notified directly when
	// this router leaves; the others learn it by gossip.
	maxNotifiedPeers = 4
)

// MembershipTick passes a tick to the membership protocol.
func (r *Router) MembershipTick(time.Time) { r.applyRoster(r.roster.Handle(roster.Tick{})) }

// ReadVMs reads the platform's list of VMs.
func (r *Router) ReadVMs(time.Time) {
	ctx, done := detachedContext(2 * time.Second)
	defer done()
	vms, err := r.vms.ListVMs(ctx)
	if err != nil {
		meter.Add("vm_list_failures", 1)
		return
	}
	var routers []roster.Member
	for _, v := range vms {
		if v.Role() == depot.RoleRouter {
			m := roster.NewMember(v.Name(), v.Address(), v.Place(), 0)
			if v.Leaving() {
				m = m.WithState(roster.Leaving)
			}
			routers = append(routers, m)
			continue
		}
		r.setTargetListed(v.Name(), v.Leaving())
	}
	r.applyRoster(r.roster.Handle(roster.ListReceived{Members: routers}))
}

// setTargetListed records whether the platform lists a target as leaving.
func (r *Router) setTargetListed(name string, leaving bool) {
	if es, ok := r.engineStates.get(name); ok {
		es.health.SetLeaving(dispatch.ByPlatform, leaving)
	}
	r.targets.setLeaving(name, leaving)
}

func (r *Router) applyRoster(effects []roster.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case roster.Probe:
			go r.probe(e.Member)
		case roster.IndirectProbe:
			go r.probeIndirectly(e)
		case roster.StateChanged:
			r.handleStateChanged(e)
		case roster.Paused:
			meter.Add("pauses", 1)
			r.log.Warn("the process was paused", "gap", e.Gap)
		}
	}
}

func (r *Router) handleStateChanged(e roster.StateChanged) {
	r.refreshOwners()
	if e.From == e.Member.State() {
		return
	}
	if e.Member.State() == roster.Gone {
		r.relays.cancelAll(e.Member.Name())
	}
	state := e.Member.State().String()
	meter.Count("member_changes", "state", state)
	r.log.Info("member state changed", "member", e.Member.Name(), "from", e.From, "to", state,
		"incarnation", e.Member.Incarnation())
}

func (r *Router) probe(m roster.Member) {
	ctx, done := detachedContext(roster.ProbeTimeout)
	defer done()
	g, err := r.peers.Probe(ctx, m.Address(), r.newGossip(m.Name()))
	if err != nil {
		meter.Add("probe_failures", 1)
		r.applyRoster(r.roster.Handle(roster.ProbeFailed{Name: m.Name()}))
		return
	}
	r.HandleGossip(g)
	r.applyRoster(r.roster.Handle(roster.ProbeSucceeded{Name: m.Name()}))
}

// probeIndirectly asks other members to probe a member that did not reply.
func (r *Router) probeIndirectly(e roster.IndirectProbe) {
	ctx, done := detachedContext(roster.IndirectTimeout)
	defer done()
	replies := make(chan *peer.ProbeOtherReply, len(e.Via))
	for _, other := range e.Via {
		go func() {
			w, err := r.peers.ProbeOther(ctx, other.Address(), peer.NewMember(e.Member))
			if err != nil {
				w = &peer.ProbeOtherReply{}
			}
			replies <- w
		}()
	}
	for range e.Via {
		if w := <-replies; w.GetAnswered() {
			r.HandleGossip(w.GetGossip())
			r.applyRoster(r.roster.Handle(roster.ProbeSucceeded{Name: e.Member.Name()}))
			return
		}
	}
	r.applyRoster(r.roster.Handle(roster.IndirectProbeFailed{Name: e.Member.Name()}))
}

// ProbeOther probes another router on behalf of a peer.
func (r *Router) ProbeOther(ctx context.Context, m *peer.Member) *peer.ProbeOtherReply {
	ctx, done := context.WithTimeout(ctx, roster.ProbeTimeout)
	defer done()
	g, err := r.peers.Probe(ctx, m.GetAddress(), r.newGossip(m.GetName()))
	if err != nil {
		return &peer.ProbeOtherReply{}
	}
	return &peer.ProbeOtherReply{Answered: true, Gossip: g}
}

// ExchangeGossip handles a peer's gossip and returns this router's.
func (r *Router) ExchangeGossip(g *peer.Gossip) *peer.Gossip {
	r.HandleGossip(g)
	return r.newGossip(g.GetFrom())
}

// HandleGossip applies a peer's gossip to the membership, the loads and the known
// version of the fleet document.
func (r *Router) HandleGossip(g *peer.Gossip) {
	r.applyRoster(g.Apply(r.roster, r.loads, r.owners().index, r.clock.Now()))
	r.defects.RecordFromPeer(logbook.FromProto(g.GetDefects()), r.clock.Now())
	if v := g.GetVersion(); v > 0 {
		r.applyRegister(r.register.Handle(register.PeerVersionReceived{Peer: g.GetFrom(), Version: v}))
	}
}

// newGossip returns the gossip for a message to a peer.
func (r *Router) newGossip(to string) *peer.Gossip {
	r.updateOwnLoads()
	g := peer.NewGossip(r.roster, r.loads, r.owners().index, to, r.clock.Now(), rand.IntN)
	g.Defects = logbook.ToProto(r.defects.Reports(r.clock.Now()))
	return g
}

// notifyPeers handles an event about this router itself and sends it to some peers
// immediately.
func (r *Router) notifyPeers(ev roster.Event) {
	r.applyRoster(r.roster.Handle(ev))
	members := r.roster.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var wg sync.WaitGroup
	notified := 0
	for _, m := range members {
		if m.Name() != r.name && notified < maxNotifiedPeers {
			wg.Go(func() { r.probe(m) })
			notified++
		}
	}
	wg.Wait()
}
