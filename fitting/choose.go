package fitting

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vanillalug.example/crew"
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
	// limitCost is added for an engine that names a limit, in milliseconds, so that it
	// is left to the requests whose prompt it has cached.
	limitCost = 50
)

// Candidate is a target with its state as seen by this router.
type Candidate struct {
	Target crew.Target
	Load   Load
	// Cached reports that the target probably has the shared prompt in its
	// cache.
	Cached bool
	// Suspect marks a target with recent failures.
	Suspect bool
	// Tried marks a target that this request was already sent to.
	Tried bool
	// PausedFor is how long the target wants no requests from this router; 0 or
	// less if it takes them.
	PausedFor time.Duration
	// Limited marks a target that names a limit, so that a request needs a permit.
	Limited bool
	// PermitIn is the time until it is worth to ask for a permit; 0 or less is now.
	PermitIn time.Duration
}

// Request describes the request that a target is chosen for.
type Request struct {
	Work  Work
	Place string
	// Slots is the batch size of a model engine; 0 for plain services.
	Slots int
	// CopyRate is the rate at which an engine copies a cached prompt from another
	// one, in prompt tokens per millisecond; 0 means that it can't.
	CopyRate int
	// ServiceTime is the mean time that a request spends at a target; 0 if
	// unknown.
	ServiceTime time.Duration
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// Objective is the latency objective for the start of the response; 0 if
	// unset.
	Objective time.Duration
	// OverloadedFor is how long requests of the service have been rejected.
	OverloadedFor time.Duration
	// Priority is the priority rank of the request; 0 is the most urgent.
	Priority int
	// Random breaks ties.
	Random uint64
}

// Decision is the result of Choose.
type Decision interface{ decision() }

// Chosen is the selected candidate, by its index.
type Chosen struct {
	Index int
	// Source is the index of the candidate from which the chosen one may copy the
	// shared prompt, or NoSource.
	Source int
	// MaxWait is how long the request may wait for a permit.
	MaxWait time.Duration
}

// NoSource is the Source of a choice without a candidate to copy from.
const NoSource = -1

// Overloaded rejects the request, as no target can start it in time. The caller
// may retry after the given time.
type Overloaded struct{ RetryAfter time.Duration }

// Paused rejects the request, as every target that it was not sent to wants no
// requests for now or is at its limit. The caller may retry after the given time.
type Paused struct{ RetryAfter time.Duration }

// NoTarget is returned when every candidate was tried or there is none.
type NoTarget struct{}

func (Chosen) decision()     {}
func (Overloaded) decision() {}
func (Paused) decision()     {}
func (NoTarget) decision()   {}

// Choose selects a target. It never selects targets that were tried or are paused. If no
// other is left it selects the one whose next permit comes soonest, or a suspect one.
func Choose(q Request, all []Candidate) Decision {
	left := eligible(all)
	if len(left) == 0 {
		if i, ok := soonestPermit(q, all); ok {
			return withCopySource(q, all, i, q.maxWait())
		}
		left = suspects(all)
	}
	if len(left) == 0 {
		if d, ok := shortestPause(all); ok {
			return Paused{RetryAfter: AfterPause(d, q.Random)}
		}
		return NoTarget{}
	}
	if full, ok := rejectOverload(q, all, left); ok {
		return full
	}
	if key, ok := q.Work.PromptKey(); ok && q.Slots > 0 {
		return chooseEngine(q, key, all, left)
	}
	return chooseLeastLoaded(q, all, left)
}

// takesRequests reports whether the request may be sent to the candidate, as far as the
// target itself is concerned.
func (c Candidate) takesRequests() bool { return !c.Tried && c.PausedFor <= 0 }

// eligible returns the indexes of the candidates that may be chosen.
func eligible(all []Candidate) []int {
	left := make([]int, 0, len(all))
	for i, c := range all {
		if c.takesRequests() && !c.Suspect && c.PermitIn <= 0 {
			left = append(left, i)
		}
	}
	return left
}

// suspects returns the indexes of the suspect candidates that may be chosen.
func suspects(all []Candidate) []int {
	var left []int
	for i, c := range all {
		if c.takesRequests() && c.Suspect && c.PermitIn <= 0 {
			left = append(left, i)
		}
	}
	return left
}

// chooseEngine selects an engine with a low cost: its current load, plus the prefill of the
// shared prompt unless it is cached. While no engine is known to have it cached, all routers
// choose the same one; otherwise they choose among two random ones.
func chooseEngine(q Request, key uint64, all []Candidate, left []int) Decision {
	within := withinBound(q, all, left)
	if len(within) == 0 {
		least := slices.MinFunc(left, func(a, b int) int {
			return cmp.Compare(all[a].Load.requests, all[b].Load.requests)
		})
		return withCopySource(q, all, least, q.permitWait(all, left, least))
	}
	best := 0
	if slices.ContainsFunc(left, func(i int) bool { return all[i].Cached }) {
		best = chooseNearCache(q, all, left, within)
	} else {
		best = choosePreferred(q, key, all, left, within)
	}
	return withCopySource(q, all, best, q.permitWait(all, left, best))
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

// choosePreferred selects an engine for a prompt that none is known to have cached.
func choosePreferred(q Request, key uint64, all []Candidate, left, within []int) int {
	preferred := preferredEngine(key, all, left)
	return slices.MinFunc(within, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(cost(q.Work, all[a], a == preferred), cost(q.Work, all[b], b == preferred)),
			cmp.Compare(rendezvousScore(key, all[b].Target), rendezvousScore(key, all[a].Target)))
	})
}

// chooseNearCache selects an engine for a prompt that some have cached: the less costly of
// two random ones of them, or, if it is over the bound or costs more, of two random others.
// Loads of peers are some time old; if every router chose the least of them, all would choose
// the same engine meanwhile. As the two are drawn before the bound is applied, the more
// engines are over it, the more requests go to others.
func chooseNearCache(q Request, all []Candidate, left, within []int) int {
	cached := slices.DeleteFunc(slices.Clone(left), func(i int) bool { return !all[i].Cached })
	others := slices.DeleteFunc(slices.Clone(within), func(i int) bool { return all[i].Cached })
	best := lessCostlyOfTwo(q, all, cached)
	if len(others) == 0 {
		if slices.Contains(within, best) {
			return best
		}
		return lessCostlyOfTwo(q, all, within)
	}
	other := lessCostlyOfTwo(q, all, others)
	if slices.Contains(within, best) && cost(q.Work, all[best], false) <= cost(q.Work, all[other], false) {
		return best
	}
	return other
}

// lessCostlyOfTwo returns the less costly of two candidates drawn at random.
func lessCostlyOfTwo(q Request, all []Candidate, from []int) int {
	first := int(mix(q.Random) % uint64(len(from)))
	second := first
	if len(from) > 1 {
		second = (first + 1 + int(mix(^q.Random)%uint64(len(from)-1))) % len(from)
	}
	if cost(q.Work, all[from[second]], false) < cost(q.Work, all[from[first]], false) {
		return from[second]
	}
	return from[first]
}

// copiesFaster reports whether copying a prompt is faster than prefill.
func (q Request) copiesFaster() bool { return q.CopyRate > prefillRate }

// withCopySource returns the choice of a candidate. If it lacks the shared
// prompt, the choice names another candidate that has it cached: in the same
// failure domain if possible, then the least loaded. It may be at its limit, as copying
// is no request to it.
func withCopySource(q Request, all []Candidate, best int, maxWait time.Duration) Chosen {
	out := Chosen{Index: best, Source: NoSource, MaxWait: maxWait}
	if all[best].Cached || !q.copiesFaster() {
		return out
	}
	place := all[best].Target.Place()
	for i, c := range all {
		if !c.Cached || c.Suspect || !c.takesRequests() {
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

// cost returns the delay that the work causes for all requests at the target, in
// milliseconds. A copy counts like a prefill, as it isn't free either.
func cost(w Work, c Candidate, preferred bool) int {
	ms := c.Load.prefillTokens/prefillRate + c.Load.requests*requestCost
	if !c.Cached && !preferred {
		ms += prefillWeight * w.ReusableTokens() / prefillRate
	}
	if c.Limited {
		ms += limitCost
	}
	return ms
}

// chooseLeastLoaded selects the least loaded target, preferring those in the
// router's own place.
func chooseLeastLoaded(q Request, all []Candidate, left []int) Decision {
	best := slices.MinFunc(left, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(utilization(all[a]), utilization(all[b])),
			compareBool(all[a].Limited, all[b].Limited),
			cmp.Compare(distance(q.Place, all[a]), distance(q.Place, all[b])),
			cmp.Compare(mix(q.Random^rendezvousScore(0, all[a].Target)), mix(q.Random^rendezvousScore(0, all[b].Target))))
	})
	return Chosen{Index: best, Source: NoSource, MaxWait: q.permitWait(all, left, best)}
}

// utilization returns the requests per slot. Targets below about a third count
// as idle, so that those in the same place are preferred among them.
func utilization(c Candidate) float64 {
	f := float64(c.Load.requests) / float64(max(c.Target.Slots(), 1))
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

// rendezvousScore returns the weight of a target for a key in rendezvous
// hashing.
func rendezvousScore(key uint64, t crew.Target) uint64 {
	return mix(key ^ uint64(KeyOf(t.ID())))
}
