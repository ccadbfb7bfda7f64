package fitting

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// boundFactor is the largest multiple of the mean load that a target may
	// have while another one has less.
	boundFactor = 1.7
	// boundExtra is added to the bound, in requests.
	boundExtra = 2
	// prefillRate is the assumed prefill rate of an engine, in prompt tokens per
	// millisecond.
	prefillRate = 50
	// prefillWeight is how much more prefill time counts than waiting time, as
	// prefill delays the streams beside it too.
	prefillWeight = 10
	// requestCost is the delay that a request adds to the others at the engine, in
	// milliseconds.
	requestCost = 5
	// readingFactor is how many times as long the pauses between events are while the engine
	// reads a prompt in chunks, and smoothPause the pause that callers hardly notice yet. What
	// a pause is longer counts pauseWeight times.
	readingFactor = 3
	smoothPause   = 300 * time.Millisecond
	pauseWeight   = 30
	// noticeableSlowness is the slowness from which on an engine counts as slow.
	noticeableSlowness = 2
	// noRoomCost is added for an engine that lately had no room, in milliseconds: more than the
	// prefill of most prompts.
	noRoomCost = 2000
	// limitCost is added for an engine that names a limit, in milliseconds, so that it
	// is left to the requests whose prompt it has cached.
	limitCost = 50
	// overloadDraws is the number of engines of which the least loaded one is chosen when
	// all are over the bound: many, as most of them have long queues, but not all, so that
	// routers with the same old loads choose different ones.
	overloadDraws = 12
	// drawStep separates the numbers that are drawn for one request (splitmix64).
	drawStep = 0x9e3779b97f4a7c15
)

// chooseEngine selects an engine with a low cost: its current load, plus the prefill of the
// shared prompt unless it is cached. While no engine is known to have it cached, all routers
// choose the same one; otherwise they choose among two random ones.
func chooseEngine(q Request, key uint64, all []Candidate, left []int, s *steps) Decision {
	within := withinBound(q, all, left)
	if len(within) == 0 {
		s.rule = LeastLoadedOfSome
		least := leastLoadedOfSome(q, all, left, s)
		return withCopySource(q, all, least, q.permitWait(all, left, least))
	}
	s.within = within
	best := 0
	if slices.ContainsFunc(left, func(i int) bool { return all[i].Cached }) {
		s.rule = NearCache
		best = chooseNearCache(q, all, left, within, s)
	} else {
		s.rule = LeastCost
		best = choosePreferred(q, key, all, left, within)
	}
	return withCopySource(q, all, best, q.permitWait(all, left, best))
}

// leastLoadedOfSome returns the candidate with the fewest requests among some drawn at random.
func leastLoadedOfSome(q Request, all []Candidate, from []int, s *steps) int {
	best := from[0]
	for n := range overloadDraws {
		i := from[mix(q.Random+uint64(n)*drawStep)%uint64(len(from))]
		s.addDrawn(i)
		if n == 0 || all[i].Load.requests < all[best].Load.requests {
			best = i
		}
	}
	return best
}

// withinBound returns those of the candidates whose load is below a multiple of the mean.
func withinBound(q Request, all []Candidate, left []int) []int {
	total := 0
	for _, i := range left {
		total += all[i].Load.requests
	}
	mean := float64(total) / float64(len(left))
	bound := min(int(math.Ceil(boundFactor*mean))+boundExtra, q.Slots)
	return slices.DeleteFunc(slices.Clone(left), func(i int) bool { return all[i].Load.requests >= bound })
}

// choosePreferred selects an engine for a prompt that none is known to have cached: the least
// costly one, and of several the first in rendezvous order.
func choosePreferred(q Request, key uint64, all []Candidate, left, within []int) int {
	preferred := preferredEngine(key, all, left)
	best, least := within[0], cost(q.Work, all[within[0]], within[0] == preferred)
	for _, i := range within[1:] {
		ms := cost(q.Work, all[i], i == preferred)
		if ms < least || ms == least && rendezvousScore(key, all[i].Target) > rendezvousScore(key, all[best].Target) {
			best, least = i, ms
		}
	}
	return best
}

// chooseNearCache selects an engine for a prompt that some have cached: the less costly of
// two random ones of them, or, if it is over the bound or costs more, of two random others.
// Loads of peers are some time old; if every router chose the least of them, all would choose
// the same engine meanwhile. As the two are drawn before the bound is applied, the more
// engines are over it, the more requests go to others.
func chooseNearCache(q Request, all []Candidate, left, within []int, s *steps) int {
	cached := slices.DeleteFunc(slices.Clone(left), func(i int) bool { return !all[i].Cached })
	others := slices.DeleteFunc(slices.Clone(within), func(i int) bool { return all[i].Cached })
	best := lessCostlyOfTwo(q, all, cached, s)
	if len(others) == 0 {
		if slices.Contains(within, best) {
			return best
		}
		return lessCostlyOfTwo(q, all, within, s)
	}
	other := lessCostlyOfTwo(q, all, others, s)
	if slices.Contains(within, best) && cost(q.Work, all[best], false) <= cost(q.Work, all[other], false) {
		return best
	}
	return other
}

// lessCostlyOfTwo returns the less costly of two candidates drawn at random.
func lessCostlyOfTwo(q Request, all []Candidate, from []int, s *steps) int {
	first := int(mix(q.Random) % uint64(len(from)))
	second := first
	if len(from) > 1 {
		second = (first + 1 + int(mix(^q.Random)%uint64(len(from)-1))) % len(from)
	}
	s.addDrawn(from[first])
	s.addDrawn(from[second])
	if cost(q.Work, all[from[second]], false) < cost(q.Work, all[from[first]], false) {
		return from[second]
	}
	return from[first]
}

// preferredEngine returns the candidate with the highest rendezvous score for a
// prompt. The order is the same at all routers, so those with an empty cache index
// choose the same engine: one that names no limit, if there is any.
func preferredEngine(key uint64, all []Candidate, left []int) int {
	return slices.MaxFunc(left, func(a, b int) int {
		return cmp.Or(
			compareBool(all[b].Limited, all[a].Limited),
			cmp.Compare(rendezvousScore(key, all[a].Target), rendezvousScore(key, all[b].Target)))
	})
}

// cost returns the delay that the work causes for all requests at the target, in
// milliseconds. A copy counts like a prefill, as it isn't free either.
func cost(w Work, c Candidate, preferred bool) int {
	ms := loadCost(c)
	if !c.Cached && !preferred {
		ms += c.prefillCost(prefillWeight * w.ReusableTokens())
	}
	if c.Limited {
		ms += limitCost
	}
	if c.ColdFor > 0 {
		ms += coldCost(w)
	}
	if !c.Estimate.HasRoom(c.Load.requests) {
		ms += noRoomCost
	}
	return ms
}

// prefillCost returns the time to read prompt tokens at the target, in milliseconds, at the assumed
// rate and as slow as the target is. The rate itself is not taken from observations: what a prompt
// that isn't cached costs against load is the same for fast and slow models.
func (c Candidate) prefillCost(tokens int) int {
	return int(float64(tokens) / prefillRate * c.engineSlowness())
}

// engineSlowness returns how many times as long as usual work takes at an engine. Below
// noticeableSlowness it is 1: a small difference isn't worth that a prompt is read or copied again.
func (c Candidate) engineSlowness() float64 {
	if s := c.Estimate.Slowness(); s >= noticeableSlowness {
		return s
	}
	return 1
}

// loadCost returns the delay by the requests that are at the target, in milliseconds. At a slow one
// prompts that are being read count prefillWeight times, as does what streams are expected to pause
// meanwhile.
func loadCost(c Candidate) int {
	slowness := c.engineSlowness()
	if slowness == 1 || !c.Estimate.KnowsPauses() {
		return int(float64(c.Load.prefillTokens/prefillRate+c.Load.requests*requestCost) * slowness)
	}
	ms := c.prefillCost(prefillWeight*c.Load.prefillTokens) + int(float64(c.Load.requests*requestCost)*slowness)
	reading := readingFactor * c.Estimate.Predict(c.Load.requests, 0).Pause
	return ms + pauseWeight*int(max(reading-smoothPause, 0)/time.Millisecond)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
