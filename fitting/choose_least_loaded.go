package fitting

import (
	"cmp"
	"slices"
)

// chooseLeastLoaded selects the least loaded engine for a prompt that shares nothing with others,
// preferring those in the router's own place. Such requests run for longer than the loads of peers
// are old.
func chooseLeastLoaded(q Request, all []Candidate, left []int) Decision {
	best := slices.MinFunc(left, func(a, b int) int {
		return cmp.Or(
			q.compareLoads(all[a], all[b]),
			cmp.Compare(mix(q.Random^rendezvousScore(0, all[a].Target)), mix(q.Random^rendezvousScore(0, all[b].Target))))
	})
	return Chosen{Index: best, Source: NoSource, MaxWait: q.permitWait(all, left, best)}
}

// compareLoads orders the less loaded engine first. Equal ones are chosen among at random.
func (q Request) compareLoads(a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(engineUtilization(q.Work, a), engineUtilization(q.Work, b)),
		compareBool(a.Limited, b.Limited),
		cmp.Compare(distance(q.Place, a), distance(q.Place, b)))
}

// engineUtilization returns the effective utilization. Engines below idleUtilization count as idle, so
// that those in the same place are preferred among them. A cold engine counts as busier the longer
// the prompt is.
func engineUtilization(w Work, c Candidate) float64 {
	f := effectiveUtilization(c)
	if c.ColdFor > 0 {
		f += float64(coldCost(w)/requestCost) / float64(max(c.Target.Slots(), 1))
	}
	if f < idleUtilization {
		return 0
	}
	return f
}
