package gateway

import (
	"slices"
	"time"

	"vanillalug.example/fitting"
)

// queuePlacement queues a placement for the next datagrams.
func (p *peers) queuePlacement(placement fitting.Placement, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.pending) < maxPendingPlacements {
		p.pending = append(p.pending, pendingPlacement{queuedAt: now, placement: placement})
	}
}

// recentPlacements returns the newest placements that may not have been sent twice
// to every peer; twice, as datagrams may be lost.
func (p *peers) recentPlacements(now time.Time) []fitting.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	since := now.Add(-time.Duration(2*p.groups()) * shareInterval)
	first := 0
	for first < len(p.pending) && p.pending[first].queuedAt.Before(since) {
		first++
	}
	p.pending = slices.Delete(p.pending, 0, first)
	newest := p.pending[max(len(p.pending)-maxPlacementsPerShare, 0):]
	out := make([]fitting.Placement, len(newest))
	for i, pending := range newest {
		out[i] = pending.placement
	}
	return out
}
