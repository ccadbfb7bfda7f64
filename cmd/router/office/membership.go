package office

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/depot"
	"vanillalug.example/dispatch"
	"vanillalug.example/peer"
	"vanillalug.example/register"
	"vanillalug.example/roster"
)

const (
	// leaveMessages is the number of peers that are told at once of leaving.
	leaveMessages = 4
)

// MembershipTick lets the membership go on.
func (o *Router) MembershipTick(time.Time) { o.carryRoster(o.roster.Handle(roster.Tick{})) }

// ReadVMs reads the platform's list of VMs.
func (o *Router) ReadVMs(time.Time) {
	ctx, done := background(2 * time.Second)
	defer done()
	vms, err := o.vms.ListVMs(ctx)
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
		o.targetListed(v.Name(), v.Leaving())
	}
	o.carryRoster(o.roster.Handle(roster.ListReceived{Members: routers}))
}

// targetListed takes the platform's word of a target.
func (o *Router) targetListed(name string, leaving bool) {
	if p, ok := o.posts.get(name); ok {
		p.health.SetLeaving(dispatch.ByPlatform, leaving)
	}
	o.targets.setListed(name, leaving)
}

func (o *Router) carryRoster(effects []roster.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case roster.Probe:
			go o.probe(e.Member)
		case roster.IndirectProbe:
			go o.probeThrough(e)
		case roster.StateChanged:
			o.memberChanged(e)
		case roster.Paused:
			meter.Add("pauses", 1)
			o.log.Warn("the process was paused", "gap", e.Gap)
		}
	}
}

func (o *Router) memberChanged(e roster.StateChanged) {
	o.refreshOwners()
	if e.From == e.Member.State() {
		return
	}
	if e.Member.State() == roster.Gone {
		o.relays.endAll(e.Member.Name())
	}
	state := e.Member.State().String()
	meter.Count("member_changes", "state", state)
	o.log.Info("member changed", "member", e.Member.Name(), "from", e.From, "to", state,
		"incarnation", e.Member.Incarnation())
}

func (o *Router) probe(m roster.Member) {
	ctx, done := background(roster.ProbeTimeout)
	defer done()
	g, err := o.peers.Probe(ctx, m.Address(), o.gossip(m.Name()))
	if err != nil {
		meter.Add("probe_failures", 1)
		o.carryRoster(o.roster.Handle(roster.ProbeFailed{Name: m.Name()}))
		return
	}
	o.HandleGossip(g)
	o.carryRoster(o.roster.Handle(roster.ProbeSucceeded{Name: m.Name()}))
}

// probeThrough asks others to probe a member that did not answer.
func (o *Router) probeThrough(e roster.IndirectProbe) {
	ctx, done := background(roster.IndirectTimeout)
	defer done()
	answers := make(chan *peer.ProbeOtherReply, len(e.Via))
	for _, other := range e.Via {
		go func() {
			w, err := o.peers.ProbeOther(ctx, other.Address(), peer.NewMember(e.Member))
			if err != nil {
				w = &peer.ProbeOtherReply{}
			}
			answers <- w
		}()
	}
	for range e.Via {
		if w := <-answers; w.GetAnswered() {
			o.HandleGossip(w.GetGossip())
			o.carryRoster(o.roster.Handle(roster.ProbeSucceeded{Name: e.Member.Name()}))
			return
		}
	}
	o.carryRoster(o.roster.Handle(roster.IndirectProbeFailed{Name: e.Member.Name()}))
}

// ProbeOther probes a third router for a peer.
func (o *Router) ProbeOther(ctx context.Context, m *peer.Member) *peer.ProbeOtherReply {
	ctx, done := context.WithTimeout(ctx, roster.ProbeTimeout)
	defer done()
	g, err := o.peers.Probe(ctx, m.GetAddress(), o.gossip(m.GetName()))
	if err != nil {
		return &peer.ProbeOtherReply{}
	}
	return &peer.ProbeOtherReply{Answered: true, Gossip: g}
}

// ExchangeGossip takes a peer's gossip and returns this router's.
func (o *Router) ExchangeGossip(g *peer.Gossip) *peer.Gossip {
	o.HandleGossip(g)
	return o.gossip(g.GetFrom())
}

// HandleGossip takes a peer's gossip.
func (o *Router) HandleGossip(g *peer.Gossip) {
	o.carryRoster(g.Apply(o.roster, o.loads, o.owners().index, o.clock.Now()))
	if v := g.GetVersion(); v > 0 {
		o.carryRegister(o.register.Handle(register.PeerVersionReceived{Peer: g.GetFrom(), Version: v}))
	}
}

// gossip returns what a message to a peer carries.
func (o *Router) gossip(to string) *peer.Gossip {
	o.noteOwnLoads()
	return peer.NewGossip(o.roster, o.loads, o.owners().index, to, o.clock.Now(), rand.IntN)
}

// tell carries out an event about this router itself and tells some peers at
// once.
func (o *Router) tell(ev roster.Event) {
	o.carryRoster(o.roster.Handle(ev))
	members := o.roster.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var wg sync.WaitGroup
	told := 0
	for _, m := range members {
		if m.Name() != o.name && told < leaveMessages {
			wg.Go(func() { o.probe(m) })
			told++
		}
	}
	wg.Wait()
}
