package office

import (
	"context"
	"sync"
	"time"

	"vanillalug.example/peer"
	"vanillalug.example/roster"
)

const statusTimeout = 1500 * time.Millisecond

// Status returns what this router has in force.
func (o *Router) Status() *peer.GetStatusReply {
	ready, why := o.Ready()
	self := o.roster.Self()
	s := &peer.GetStatusReply{
		Name:         o.name,
		Place:        o.place,
		Build:        o.build,
		Head:         peer.NewHead(o.register.Head()),
		Known:        peer.NewHead(o.register.LatestKnown()),
		LowestLevel:  uint32(o.levels.Low()),
		HighestLevel: uint32(o.levels.High()),
		UnfitLevel:   uint32(o.register.UnsupportedLevel()),
		Ready:        ready,
		State:        self.State().String(),
		Incarnation:  self.Incarnation(),
		OpenRequests: uint32(o.open.total()),
	}
	if !ready {
		s.State = why
	}
	if f := o.register.Fleet(); f != nil {
		s.RulesLevel = uint32(f.RulesLevel())
		s.InForceMs = uint64(o.clock.Now().Sub(o.register.ActiveSince()).Milliseconds())
	}
	return s
}

// MemberStatus is what one member of the fleet says of itself.
type MemberStatus struct {
	Member roster.Member
	Status *peer.GetStatusReply
	Err    error
}

// FleetStatus asks every member that this router knows of.
func (o *Router) FleetStatus(ctx context.Context) []MemberStatus {
	ctx, done := context.WithTimeout(ctx, statusTimeout)
	defer done()
	members := o.roster.Members()
	out := make([]MemberStatus, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		out[i].Member = m
		if m.Name() == o.name {
			out[i].Status = o.Status()
			continue
		}
		wg.Go(func() { out[i].Status, out[i].Err = o.peers.Status(ctx, m.Address()) })
	}
	wg.Wait()
	return out
}
