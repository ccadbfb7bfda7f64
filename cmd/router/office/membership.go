package office

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/dispatch"
	"vanillalug.example/peer"
	"vanillalug.example/platform"
	"vanillalug.example/register"
	"vanillalug.example/roster"
)

const (
	probeTimeout    = 400 * time.Millisecond
	indirectTimeout = 800 * time.Millisecond
	// loadsPerMessage is the number of loads in each message between routers.
	loadsPerMessage = 32
	// leaveMessages is the number of peers that are told at once of leaving.
	leaveMessages = 4
)

// MembershipTick lets the membership go on.
func (o *Office) MembershipTick(time.Time) { o.carryRoster(o.roster.Handle(roster.Tick{})) }

// ReadVMs reads the platform's list of VMs.
func (o *Office) ReadVMs(time.Time) {
	ctx, done := background(2 * time.Second)
	defer done()
	vms, err := o.vms.ListVMs(ctx)
	if err != nil {
		meter.Add("vm_list_failures", 1)
		return
	}
	var routers []roster.Member
	for _, v := range vms {
		if v.Role() == platform.RoleRouter {
			m := roster.NewMember(v.Name(), v.Address(), v.Place(), 0)
			if v.Leaving() {
				m = m.WithState(roster.Leaving)
			}
			routers = append(routers, m)
			continue
		}
		o.targetListed(v.Name(), v.Leaving())
	}
	o.carryRoster(o.roster.Handle(roster.Listed{Members: routers}))
}

// targetListed takes the platform's word of a target.
func (o *Office) targetListed(name string, leaving bool) {
	if p, ok := o.posts.get(name); ok {
		p.health.SetLeaving(dispatch.ByPlatform, leaving)
	}
	o.targets.setListed(name, leaving)
}

func (o *Office) carryRoster(effects []roster.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case roster.Probe:
			go o.probe(e.Member)
		case roster.ProbeThrough:
			go o.probeThrough(e)
		case roster.Changed:
			o.memberChanged(e)
		case roster.Paused:
			meter.Add("pauses", 1)
			o.log.Warn("the process was paused", "gap", e.Gap)
		}
	}
}

func (o *Office) memberChanged(e roster.Changed) {
	if e.From == e.Member.State() {
		return
	}
	state := e.Member.State().String()
	meter.Count("member_changes", "state", state)
	o.log.Info("member changed", "member", e.Member.Name(), "from", e.From, "to", state,
		"incarnation", e.Member.Incarnation())
}

func (o *Office) probe(m roster.Member) {
	ctx, done := background(probeTimeout)
	defer done()
	g, err := o.peers.Probe(ctx, m.Address(), o.gossip(m.Name()))
	if err != nil {
		meter.Add("probe_failures", 1)
		o.carryRoster(o.roster.Handle(roster.Unanswered{Name: m.Name()}))
		return
	}
	o.Heard(g)
	o.carryRoster(o.roster.Handle(roster.Answered{Name: m.Name()}))
}

// probeThrough asks others to probe a member that did not answer.
func (o *Office) probeThrough(e roster.ProbeThrough) {
	ctx, done := background(indirectTimeout)
	defer done()
	answers := make(chan *peer.ProbeOtherReply, len(e.Others))
	for _, other := range e.Others {
		go func() {
			w, err := o.peers.ProbeOther(ctx, other.Address(), memberBody(e.Member))
			if err != nil {
				w = &peer.ProbeOtherReply{}
			}
			answers <- w
		}()
	}
	for range e.Others {
		if w := <-answers; w.GetAnswered() {
			o.Heard(w.GetGossip())
			o.carryRoster(o.roster.Handle(roster.Answered{Name: e.Member.Name()}))
			return
		}
	}
	o.carryRoster(o.roster.Handle(roster.UnansweredIndirect{Name: e.Member.Name()}))
}

// ProbeOther probes a third router for a peer.
func (o *Office) ProbeOther(ctx context.Context, m *peer.Member) *peer.ProbeOtherReply {
	ctx, done := context.WithTimeout(ctx, probeTimeout)
	defer done()
	g, err := o.peers.Probe(ctx, m.GetAddress(), o.gossip(m.GetName()))
	if err != nil {
		return &peer.ProbeOtherReply{}
	}
	return &peer.ProbeOtherReply{Answered: true, Gossip: g}
}

// Answer takes a peer's gossip and returns this router's.
func (o *Office) Answer(g *peer.Gossip) *peer.Gossip {
	o.Heard(g)
	return o.gossip(g.GetFrom())
}

// Heard takes a peer's gossip.
func (o *Office) Heard(g *peer.Gossip) {
	now := o.clock.Now()
	updates := make([]roster.Member, 0, len(g.GetMembers()))
	for _, b := range g.GetMembers() {
		m := roster.NewMember(b.GetName(), b.GetAddress(), b.GetPlace(), b.GetIncarnation())
		updates = append(updates, m.WithState(roster.State(min(b.GetState(), uint32(roster.Gone)))))
	}
	o.carryRoster(o.roster.Handle(roster.Heard{From: g.GetFrom(), Updates: updates}))
	for _, b := range g.GetLoads() {
		at := now.Add(-time.Duration(b.GetAgeMs()) * time.Millisecond)
		condition := dispatch.Condition(min(b.GetCondition(), uint32(dispatch.Leaving)))
		o.loads.Put(dispatch.NewLoad(b.GetTarget(), int(b.GetInFlight()), condition, at))
	}
	if h := g.GetHead(); h.GetVersion() > 0 {
		head := register.NewHead(h.GetVersion(), h.GetDigest(), h.GetPublication())
		o.carryRegister(o.register.Handle(register.HeadHeard{Peer: g.GetFrom(), Head: head}))
	}
}

// gossip returns what a message to a peer carries.
func (o *Office) gossip(to string) *peer.Gossip {
	g := &peer.Gossip{From: o.name, Head: headBody(o.register.Head())}
	for _, m := range o.roster.Updates(to) {
		g.Members = append(g.Members, memberBody(m))
	}
	now := o.clock.Now()
	for _, l := range o.loads.Sample(loadsPerMessage, now, rand.IntN) {
		g.Loads = append(g.Loads, &peer.Load{
			Target:    l.Target(),
			InFlight:  uint32(l.InFlight()),
			Condition: uint32(l.Condition()),
			AgeMs:     uint32(now.Sub(l.At()).Milliseconds()),
		})
	}
	return g
}

// tell carries out an event about this router itself and tells some peers at
// once.
func (o *Office) tell(ev roster.Event) {
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

func memberBody(m roster.Member) *peer.Member {
	return &peer.Member{
		Name:        m.Name(),
		Address:     m.Address(),
		Place:       m.Place(),
		Incarnation: m.Incarnation(),
		State:       uint32(m.State()),
	}
}

func headBody(h register.Head) *peer.Head {
	return &peer.Head{Version: h.Version(), Digest: h.Digest(), Publication: h.Publication()}
}
