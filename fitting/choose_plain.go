package fitting

import (
	"cmp"
	"math"
	"slices"
)

// chooseLeastLoaded selects the least loaded target, preferring those in the
// router's own place.
func chooseLeastLoaded(q Request, all []Candidate, left []int) Decision {
	best := slices.MinFunc(withinPlainBound(all, left), func(a, b int) int {
		return cmp.Or(
			cmp.Compare(utilization(all[a]), utilization(all[b])),
			compareBool(all[a].Limited, all[b].Limited),
			cmp.Compare(distance(q.Place, all[a]), distance(q.Place, all[b])),
			cmp.Compare(mix(q.Random^rendezvousScore(0, all[a].Target)), mix(q.Random^rendezvousScore(0, all[b].Target))))
	})
	return Chosen{Index: best, Source: NoSource, MaxWait: q.permitWait(all, left, best)}
}

// withinPlainBound returns those of the candidates whose load is below a multiple of the mean, as fast
// targets could have too much of it otherwise. Without estimates the least loaded one is within it.
func withinPlainBound(all []Candidate, left []int) []int {
	total, estimated := 0, false
	for _, i := range left {
		total += all[i].Load.requests
		estimated = estimated || all[i].Estimate.Slowness() != 1
	}
	if !estimated {
		return left
	}
	bound := int(math.Ceil(boundFactor*float64(total)/float64(len(left)))) + boundExtra
	return slices.DeleteFunc(slices.Clone(left), func(i int) bool { return all[i].Load.requests >= bound })
}

// idleUtilization is the utilization below which a target counts as idle, so that those in the same
// place are preferred among them.
const idleUtilization = 0.34

// utilization returns the requests per slot, weighted by how slow the target is. A target that is
// slow counts as loaded before it has any request, as much as one as usual on which the request
// takes as long. Those below idleUtilization count as idle.
func utilization(c Candidate) float64 {
	f := float64(c.Load.requests) / float64(max(c.Target.Slots(), 1))
	taken := f
	if slowness := c.Estimate.Slowness(); slowness != 1 {
		f = f*slowness + idleUtilization*(slowness-1)
	}
	if taken >= 1 || !c.Estimate.HasRoom(c.Load.requests) {
		f = max(f, taken, 1)
	}
	if f < idleUtilization {
		return 0
	}
	return f
}

// distance is 0 within the same place and 1 otherwise.
func distance(place string, c Candidate) int {
	if c.Target.Place() == place {
		return 0
	}
	return 1
}
