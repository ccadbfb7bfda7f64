package fitting

import (
	"cmp"
	"slices"
	"time"
)

const (
	// goalShare is the part of its goal for which the most urgent request may
	// wait for a slot.
	goalShare = 0.5
	// maxQueue is the multiple of its slots that may wait at a target; more of
	// them are shed by the target itself.
	maxQueue = 4
	// minReturn is the soonest that a refused caller may come back.
	minReturn = 200 * time.Millisecond
	// heededShare is the part of the time left for which callers stay away when
	// they are told to, as a divisor.
	heededShare = 3
	// crowdShare is the part of a crowd's age after which a refused caller may
	// come back, as a divisor.
	crowdShare = 2
)

// turnAway answers more load than the targets can serve in time, such as a
// burst, or half of the targets lost: a request that would begin late is refused
// at once, the less urgent ones first, so that the others are served in time.
// What waits longer than that keeps no target busier.
func turnAway(q Request, all []Candidate, left []int) (Overloaded, bool) {
	least := slices.MinFunc(left, func(a, b int) int { return cmp.Compare(waiting(q, all[a]), waiting(q, all[b])) })
	queued, slots := waiting(q, all[least]), q.slotsOf(all[least])
	if queued <= 0 || slots == 0 {
		return Overloaded{}, false
	}
	wait := q.ServiceTime * time.Duration(queued) / time.Duration(slots)
	if wait <= q.patience() && queued <= maxQueue*slots {
		return Overloaded{}, false
	}
	return Overloaded{RetryAfter: q.comeBack(wait)}, true
}

// patience is how long the request may wait for a slot; it falls with the square
// of the rank, so that less urgent work does not take the slots of more urgent
// work.
func (q Request) patience() time.Duration {
	patience := q.TimeLeft
	if q.Objective > 0 {
		patience = min(patience, time.Duration(goalShare*float64(q.Objective)))
	}
	rank := time.Duration(1 + max(q.Priority, 0))
	return patience / (rank * rank)
}

// comeBack is when a refused caller may come back. The longer a crowd has been
// there, the longer it is likely to stay: returns are spread over a time that
// grows with it, as far as callers heed it.
func (q Request) comeBack(wait time.Duration) time.Duration {
	longest := max(q.TimeLeft/heededShare, minReturn)
	return spread(min(max(wait/2, q.OverloadedFor/crowdShare, minReturn), longest), q.Random)
}

// waiting is how many requests would wait for a slot, this one included.
func waiting(q Request, c Candidate) int { return c.Load.requests + 1 - q.slotsOf(c) }

func (q Request) slotsOf(c Candidate) int {
	if q.Slots > 0 {
		return q.Slots
	}
	return c.Target.Slots()
}

// spread moves a time by up to a quarter either way, so that callers who were
// refused together do not return together.
func spread(d time.Duration, random uint64) time.Duration {
	return d*3/4 + time.Duration(mix(random)%uint64(d/2))
}
