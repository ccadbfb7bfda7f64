package peer

import (
	"time"

	"vanillalug.example/dispatch"
	"vanillalug.example/register"
	"vanillalug.example/roster"
)

// NewMember encodes a member as a message.
func NewMember(m roster.Member) *Member {
	return &Member{
		Name:        m.Name(),
		Address:     m.Address(),
		Place:       m.Place(),
		Incarnation: m.Incarnation(),
		State:       uint32(m.State()),
	}
}

// RosterMember decodes a member from a message.
func RosterMember(msg *Member) roster.Member {
	m := roster.NewMember(msg.GetName(), msg.GetAddress(), msg.GetPlace(), msg.GetIncarnation())
	return m.WithState(roster.State(min(msg.GetState(), uint32(roster.Gone))))
}

// NewLoad encodes the load of a target with the number in the TargetIndex. The
// message has the age of the load instead of a time, so that the routers' clocks
// need not agree.
func NewLoad(number uint32, l dispatch.Load, now time.Time) *Load {
	return &Load{
		Target:    number,
		InFlight:  uint32(l.InFlight()),
		Condition: uint32(l.Condition()),
		AgeMs:     uint32(now.Sub(l.ObservedAt()).Milliseconds()),
	}
}

// DispatchLoad decodes the load of a target from a message.
func DispatchLoad(target string, msg *Load, now time.Time) dispatch.Load {
	at := now.Add(-time.Duration(msg.GetAgeMs()) * time.Millisecond)
	condition := dispatch.Condition(min(msg.GetCondition(), uint32(dispatch.Leaving)))
	return dispatch.NewLoad(target, int(msg.GetInFlight()), condition, at)
}

// NewHead encodes the head of the fleet document as a message.
func NewHead(h register.Head) *Head {
	return &Head{Version: h.Version(), Digest: h.Digest(), Publication: h.Publication()}
}

// RegisterHead decodes the head of the fleet document from a message.
func RegisterHead(msg *Head) register.Head {
	return register.NewHead(msg.GetVersion(), msg.GetDigest(), msg.GetPublication())
}

// LoadsPerMessage is the maximum number of loads in a gossip message.
const LoadsPerMessage = 96

// NewGossip returns a gossip message from a router to a peer. It has the member
// updates queued for the peer and a sample of the loads.
func NewGossip(r *roster.Roster, loads *dispatch.LoadView, x *TargetIndex, to string, now time.Time, pick func(int) int) *Gossip {
	g := &Gossip{From: r.Self().Name(), Version: x.Version()}
	for _, m := range r.Updates(to) {
		g.Members = append(g.Members, NewMember(m))
	}
	for _, l := range loads.Sample(LoadsPerMessage, now, pick) {
		if number, ok := x.Number(l.Target()); ok {
			g.Loads = append(g.Loads, NewLoad(number, l, now))
		}
	}
	return g
}

// Apply passes the members and loads of a gossip message to the roster and the
// load view. Loads are skipped while the routers have different versions of the
// fleet document active, because target numbers differ between versions. It
// returns the effects of the roster.
func (g *Gossip) Apply(r *roster.Roster, loads *dispatch.LoadView, x *TargetIndex, now time.Time) []roster.Effect {
	updates := make([]roster.Member, 0, len(g.GetMembers()))
	for _, m := range g.GetMembers() {
		updates = append(updates, RosterMember(m))
	}
	if g.GetVersion() == x.Version() {
		for _, l := range g.GetLoads() {
			if target, ok := x.Target(l.GetTarget()); ok {
				loads.Put(DispatchLoad(target, l, now))
			}
		}
	}
	return r.Handle(roster.UpdatesReceived{From: g.GetFrom(), Updates: updates})
}
