package fitting

import (
	"cmp"
	"time"
)

// copiesFaster reports whether copying a prompt is faster than prefill.
func (q Request) copiesFaster() bool { return q.CopyRate > prefillRate }

// withCopySource returns the choice of a candidate. If it lacks the shared
// prompt, the choice names another candidate that has it cached: in the same
// failure domain if possible, then the least loaded. It may be at its limit or leaving, as
// copying is no request to it.
func withCopySource(q Request, all []Candidate, best int, maxWait time.Duration) Chosen {
	out := Chosen{Index: best, Source: NoSource, MaxWait: maxWait}
	if all[best].Cached || !q.copiesFaster() {
		return out
	}
	place := all[best].Target.Place()
	for i, c := range all {
		if !c.mayBeCopiedFrom() {
			continue
		}
		if out.Source < 0 || compareSources(place, all[i], all[out.Source]) < 0 {
			out.Source = i
		}
	}
	return out
}

func compareSources(place string, a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(distance(place, a), distance(place, b)),
		cmp.Compare(a.Load.requests, b.Load.requests))
}
