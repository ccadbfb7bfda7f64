package office

import (
	"context"
	"sync"
	"time"

	"vanillalug.example/peer"
	"vanillalug.example/roster"
)

const statusTimeout = 1500 * time.Millisecond

// Status returns the status of this router and the versions that it has active.
func (r *Router) Status() *peer.GetStatusReply {
	ready, why := r.Ready()
	self := r.roster.Self()
	s := &peer.GetStatusReply{
		Name:         r.name,
		Place:        r.place,
		Build:        r.build,
		Head:         peer.NewHead(r.register.Head()),
		Known:        peer.NewHead(r.register.LatestKnown()),
		LowestLevel:  uint32(r.levels.Low()),
		HighestLevel: uint32(r.levels.High()),
		UnfitLevel:   uint32(r.register.UnsupportedLevel()),
		Ready:        ready,
		State:        self.State().String(),
		Incarnation:  self.Incarnation(),
		OpenRequests: uint32(r.inFlight.total()),
	}
	if !ready {
		s.State = why
	}
	if f := r.register.Fleet(); f != nil {
		s.RulesLevel = uint32(f.RulesLevel())
		s.Evacuations = r.evacuationStatus(f)
		s.InForceMs = uint64(r.clock.Now().Sub(r.register.ActiveSince()).Milliseconds())
	}
	return s
}

// MemberStatus is the status that a member of the fleet reports, or the error of
// querying it.
type MemberStatus struct {
	Member roster.Member
	Status *peer.GetStatusReply
	Err    error
}

// FleetStatus queries the status of every known member.
func (r *Router) FleetStatus(ctx context.Context) []MemberStatus {
	ctx, done := context.WithTimeout(ctx, statusTimeout)
	defer done()
	members := r.roster.Members()
	out := make([]MemberStatus, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		out[i].Member = m
		if m.Name() == r.name {
			out[i].Status = r.Status()
			continue
		}
		wg.Go(func() { out[i].Status, out[i].Err = r.peers.Status(ctx, m.Address()) })
	}
	wg.Wait()
	return out
}
