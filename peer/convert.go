package peer

import (
	"time"

	"vanillalug.example/dispatch"
	"vanillalug.example/register"
	"vanillalug.example/roster"
)

// NewMember returns the message of a member.
func NewMember(m roster.Member) *Member {
	return &Member{
		Name:        m.Name(),
		Address:     m.Address(),
		Place:       m.Place(),
		Incarnation: m.Incarnation(),
		State:       uint32(m.State()),
	}
}

// RosterMember returns the member of a message.
func RosterMember(b *Member) roster.Member {
	m := roster.NewMember(b.GetName(), b.GetAddress(), b.GetPlace(), b.GetIncarnation())
	return m.WithState(roster.State(min(b.GetState(), uint32(roster.Gone))))
}

// NewLoad returns the message of a load. Ages take the place of times, so that
// clocks need not agree.
func NewLoad(number uint32, l dispatch.Load, now time.Time) *Load {
	return &Load{
		Target:    number,
		InFlight:  uint32(l.InFlight()),
		Condition: uint32(l.Condition()),
		AgeMs:     uint32(now.Sub(l.ObservedAt()).Milliseconds()),
	}
}

// DispatchLoad returns the load of a message about a target.
func DispatchLoad(target string, b *Load, now time.Time) dispatch.Load {
	at := now.Add(-time.Duration(b.GetAgeMs()) * time.Millisecond)
	condition := dispatch.Condition(min(b.GetCondition(), uint32(dispatch.Leaving)))
	return dispatch.NewLoad(target, int(b.GetInFlight()), condition, at)
}

// NewHead returns the message of a head.
func NewHead(h register.Head) *Head {
	return &Head{Version: h.Version(), Digest: h.Digest(), Publication: h.Publication()}
}

// RegisterHead returns the head of a message.
func RegisterHead(b *Head) register.Head {
	return register.NewHead(b.GetVersion(), b.GetDigest(), b.GetPublication())
}

// LoadsPerMessage is the number of loads in each message between routers.
const LoadsPerMessage = 96

// NewGossip returns what a message from a router to a peer carries.
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

// Apply gives the members and loads of a message to the roster and the loads.
// Loads are left out while the routers have different documents in force. It
// returns the effects of the roster.
func (g *Gossip) Apply(r *roster.Roster, loads *dispatch.LoadView, x *TargetIndex, now time.Time) []roster.Effect {
	updates := make([]roster.Member, 0, len(g.GetMembers()))
	for _, b := range g.GetMembers() {
		updates = append(updates, RosterMember(b))
	}
	if g.GetVersion() == x.Version() {
		for _, b := range g.GetLoads() {
			if target, ok := x.Target(b.GetTarget()); ok {
				loads.Put(DispatchLoad(target, b, now))
			}
		}
	}
	return r.Handle(roster.UpdatesReceived{From: g.GetFrom(), Updates: updates})
}
