package quota

import "time"

const (
	// placeRetryTime is the time until it is worth to ask again for a place.
	placeRetryTime = 50 * time.Millisecond
	// placesUnknownTime is how long after the first place of a target was issued there may be
	// requests at it without one: those that were sent before, or got one from another issuer.
	placesUnknownTime = 2 * time.Second
	// placeGrowTime is the time after which one place more is issued again at a target that has
	// rejected a request although it had one.
	placeGrowTime = 2 * time.Second
)

// PlaceID identifies a place at a target that was issued; 0 is none.
type PlaceID uint64

// PlaceRequest asks for a place at a brittle target.
type PlaceRequest struct {
	// Slots is how many requests the target runs at once.
	Slots int
	// InFlight is how many requests are at the target, as far as is known.
	InFlight int
	// Lease is how long the request may be there.
	Lease time.Duration
}

// places are those of one target.
type places struct {
	since  time.Time
	nextID PlaceID
	// until has the ends of the leases of the places that are taken.
	until    map[PlaceID]time.Time
	lastUsed time.Time
	// room is how many requests the target held when it last rejected one, at rejectedAt.
	room       int
	rejectedAt time.Time
}

// TakePlace returns a place at a brittle target, or 0 and when it is worth to ask again.
func (i *Issuer) TakePlace(target TargetKey, r PlaceRequest, now time.Time) (PlaceID, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := i.places[target]
	if p == nil {
		p = &places{since: now, until: map[PlaceID]time.Time{}}
		i.places[target] = p
	}
	p.lastUsed = now
	if p.taken(r.InFlight, now) >= p.bound(r.Slots, now) {
		return 0, placeRetryTime
	}
	p.nextID++
	p.until[p.nextID] = now.Add(r.Lease)
	return p.nextID, 0
}

// bound returns how many places are issued at most.
func (p *places) bound(slots int, now time.Time) int {
	if p.rejectedAt.IsZero() {
		return slots
	}
	return min(slots, p.room+int(now.Sub(p.rejectedAt)/placeGrowTime))
}

// taken returns the number of places that are taken, and drops expired ones.
func (p *places) taken(inFlight int, now time.Time) int {
	for id, until := range p.until {
		if now.After(until) {
			delete(p.until, id)
		}
	}
	if now.Sub(p.since) < placesUnknownTime {
		return max(len(p.until), inFlight)
	}
	return len(p.until)
}

// ReleasePlace frees a place. rejected says that the target had no room for the request: then fewer
// are issued for a time.
func (i *Issuer) ReleasePlace(target TargetKey, id PlaceID, rejected bool, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := i.places[target]
	if p == nil {
		return
	}
	delete(p.until, id)
	if rejected {
		p.room = max(len(p.until), 1)
		p.rejectedAt = now
	}
}
