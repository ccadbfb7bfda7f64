package fitting

import (
	"math"
	"slices"
)

const (
	// idleUtilization is the number of requests per slot below which a target counts as idle.
	idleUtilization = 0.34
	// drawResolution is the number of steps in which a random number is drawn.
	drawResolution = 1 << 30
)

// choosePlain selects a target of a plain service: an idle one in the router's own place if there
// is any, else one drawn at random, with weights that fall with the load. The loads of peers are
// some time old, and a request to a plain service is often shorter than that: if every router
// chose the least loaded target, all would choose the same one until the next report, and its
// queue would overflow beside targets that have free slots.
func choosePlain(q Request, all []Candidate, left []int, s *steps) Decision {
	from := withinMean(all, left)
	s.rule, s.within = DrawnByWeight, from
	if near := idleNearby(q, all, from); len(near) > 0 {
		s.rule = DrawnNearby
		from = near
	}
	s.pool = from
	best := drawByWeight(q, all, from)
	return Chosen{Index: best, Source: NoSource, MaxWait: q.permitWait(all, left, best)}
}

// withinMean returns the candidates whose load is below a multiple of the mean.
func withinMean(all []Candidate, left []int) []int {
	total := 0
	for _, i := range left {
		total += all[i].Load.requests
	}
	bound := int(math.Ceil(boundFactor*float64(total)/float64(len(left)))) + boundExtra
	within := slices.DeleteFunc(slices.Clone(left), func(i int) bool { return all[i].Load.requests >= bound })
	if len(within) == 0 {
		return left
	}
	return within
}

// idleNearby returns the idle candidates in the router's own place at which it has no request.
func idleNearby(q Request, all []Candidate, left []int) []int {
	return slices.DeleteFunc(slices.Clone(left), func(i int) bool {
		c := all[i]
		return c.Limited || c.ColdFor > 0 || c.OwnRequests > 0 || !c.idle() || distance(q.Place, c) > 0
	})
}

// drawByWeight draws a candidate at random.
func drawByWeight(q Request, all []Candidate, from []int) int {
	x := totalWeight(all, from) * float64(mix(q.Random+drawStep)%drawResolution) / drawResolution
	for _, i := range from {
		if x -= drawWeight(all[i]); x < 0 {
			return i
		}
	}
	return from[len(from)-1]
}

func totalWeight(all []Candidate, from []int) float64 {
	total := 0.0
	for _, i := range from {
		total += drawWeight(all[i])
	}
	return total
}

// drawWeight returns the weight of a candidate. This router's own requests, which are known
// exactly, count more than those of peers, and a slow target gets fewer requests in proportion. A
// fast one whose slots are taken makes a request wait, so that it gets no more for its speed.
func drawWeight(c Candidate) float64 {
	load, slowness := idleUtilization+math.Max(utilization(c), 0), c.Estimate.Slowness()
	if utilization(c) >= 1 {
		slowness = math.Max(slowness, 1)
	}
	if !c.Estimate.HasRoom(c.Load.requests) {
		load++
	}
	return 1 / (load * slowness * float64(1+max(c.OwnRequests, 0)))
}

// idle reports whether a request starts at once at the candidate and doesn't take much longer than
// elsewhere.
func (c Candidate) idle() bool { return effectiveUtilization(c) < idleUtilization }

// effectiveUtilization returns the requests per slot, weighted by how slow the target is. A target
// that is slow counts as loaded before it has any request, as much as one as usual on which the
// request takes as long; one that lately had no room counts as full.
func effectiveUtilization(c Candidate) float64 {
	slowness := c.Estimate.Slowness()
	// A fast target with all slots taken isn't idle.
	f := math.Max(utilization(c)*slowness+idleUtilization*(slowness-1), utilization(c)-1+idleUtilization)
	if !c.Estimate.HasRoom(c.Load.requests) {
		f = math.Max(f, 1)
	}
	return f
}

// utilization returns the requests per slot.
func utilization(c Candidate) float64 {
	return float64(c.Load.requests) / float64(max(c.Target.Slots(), 1))
}

// distance is 0 within the same place and 1 otherwise.
func distance(place string, c Candidate) int {
	if c.Target.Place() == place {
		return 0
	}
	return 1
}
