package fitting

import (
	"cmp"
	"slices"
)

// chooseLeastLoaded selects the least loaded target, preferring those in the
// router's own place.
func chooseLeastLoaded(q Request, all []Candidate, left []int) Decision {
	best := slices.MinFunc(left, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(utilization(q.Work, all[a]), utilization(q.Work, all[b])),
			compareBool(all[a].Limited, all[b].Limited),
			cmp.Compare(distance(q.Place, all[a]), distance(q.Place, all[b])),
			cmp.Compare(mix(q.Random^rendezvousScore(0, all[a].Target)), mix(q.Random^rendezvousScore(0, all[b].Target))))
	})
	return Chosen{Index: best, Source: NoSource, MaxWait: q.permitWait(all, left, best)}
}

// utilization returns the requests per slot. Targets below about a third count
// as idle, so that those in the same place are preferred among them. A cold engine counts as busier the
// longer the prompt is.
func utilization(w Work, c Candidate) float64 {
	requests := c.Load.requests
	if c.ColdFor > 0 {
		requests += coldCost(w) / requestCost
	}
	f := float64(requests) / float64(max(c.Target.Slots(), 1))
	if f < 0.34 {
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
