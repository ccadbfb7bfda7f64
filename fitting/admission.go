package fitting

import (
	"cmp"
	"slices"
	"time"
)

const (
	// queueWaitShare is the share of its latency objective that the most urgent
	// request may spend waiting for a slot.
	queueWaitShare = 0.5
	// maxQueueFactor limits the requests queued at a target, as a multiple of
	// its slots; beyond that the target sheds them itself.
	maxQueueFactor = 4
	// minRetryAfter is the shortest retry-after time of a rejected request.
	minRetryAfter = 200 * time.Millisecond
	// maxRetryAfterDivisor bounds the retry-after time: callers honor at most
	// their remaining time divided by it.
	maxRetryAfterDivisor = 3
	// returnSpread is the largest part of the retry-after time that is added at random.
	returnSpread = 2
	// overloadDivisor derives the retry-after time from the duration of the
	// overload so far.
	overloadDivisor = 2
)

// admit returns the candidates that the request may be sent to, or what there is too little of.
// A request that would start too late is rejected, such as in a burst or after half of the
// targets are lost. Less urgent requests are rejected first, so that the others are served in
// time, and then those of workspaces far above their fair share. A longer queue would not keep any
// target busier.
func admit(q Request, all []Candidate, left []int, s *steps) ([]int, Shortage) {
	fits, shortage := withMemory(q, all, left)
	s.withMemory = fits
	if shortage != NoShortage {
		return left, shortage
	}
	if shortage := q.slotShortage(all, fits); shortage != NoShortage {
		return left, shortage
	}
	return withPrefill(q, all, fits)
}

// slotShortage tells whether the request would wait too long for a slot.
func (q Request) slotShortage(all []Candidate, left []int) Shortage {
	shortest, queued, slots := q.shortestQueue(all, left)
	if queued <= 0 || slots == 0 {
		return NoShortage
	}
	wait := q.slotWait(all[shortest])
	switch {
	case queued > maxQueueFactor*slots || wait > q.maxWait():
		return SlotShortage
	case wait > q.fairWait():
		return ShareShortage
	}
	return NoShortage
}

// shortestQueue returns the candidate at which the fewest requests would wait for a slot, how many
// these are, and its slots.
func (q Request) shortestQueue(all []Candidate, left []int) (shortest, queued, slots int) {
	shortest = slices.MinFunc(left, func(a, b int) int { return cmp.Compare(queueLength(q, all[a]), queueLength(q, all[b])) })
	return shortest, queueLength(q, all[shortest]), q.slotsOf(all[shortest])
}

// slotWait returns how long the request is likely to wait for a slot of the candidate.
func (q Request) slotWait(c Candidate) time.Duration {
	queued, slots := queueLength(q, c), q.slotsOf(c)
	return q.serviceTimeAt(c) * time.Duration(max(queued, 0)) / time.Duration(max(slots, 1))
}

// maxWait returns how long the request may wait for a slot. It falls with the
// square of the priority rank, so that less urgent requests don't take the slots
// of more urgent ones.
func (q Request) maxWait() time.Duration {
	wait := q.TimeLeft
	if q.Objective > 0 {
		wait = min(wait, time.Duration(queueWaitShare*float64(q.Objective)))
	}
	rank := time.Duration(1 + max(q.Priority, 0))
	return wait / (rank * rank)
}

// retryAfter returns the time after which a rejected caller may retry. The
// longer an overload has lasted, the longer it is likely to last, so retries are
// spread over a time that grows with it, up to the longest that callers honor.
func (q Request) retryAfter(wait time.Duration) time.Duration {
	longest := max(q.TimeLeft/maxRetryAfterDivisor, minRetryAfter)
	return jitter(min(max(wait/2, q.OverloadedFor/overloadDivisor, minRetryAfter), longest), q.Random)
}

// returnTime returns the time after which a rejected caller may retry: when the request is likely
// to have room, and up to three times later, as callers that were rejected together would
// otherwise come back together.
func (q Request) returnTime(all []Candidate, left []int, shortage Shortage) time.Duration {
	shortest, _, _ := q.shortestQueue(all, left)
	wait := q.slotWait(all[shortest])
	switch shortage {
	case MemoryShortage:
		wait = max(wait, q.memoryWait(all, left))
	case PrefillShortage, ShareShortage:
		wait = max(wait, q.shortestPrefill(all, left))
	case NoShortage, SlotShortage:
	}
	base := q.retryAfter(wait)
	spread := min(returnSpread*base, max(q.TimeLeft/maxRetryAfterDivisor, minRetryAfter)-base)
	if spread <= 0 {
		return base
	}
	return base + time.Duration(mix(q.Random^drawStep)%uint64(spread))
}

// queueLength returns how many requests would wait for a slot, including this
// one. It is negative while slots are free.
func queueLength(q Request, c Candidate) int { return c.Load.requests + 1 - q.slotsOf(c) }

func (q Request) slotsOf(c Candidate) int {
	if q.Slots > 0 {
		return q.Slots
	}
	return c.Target.Slots()
}

// jitter varies a duration by up to a quarter in either direction, so that
// callers that were rejected together don't retry together.
func jitter(d time.Duration, random uint64) time.Duration {
	return d*3/4 + time.Duration(mix(random)%uint64(d/2))
}
