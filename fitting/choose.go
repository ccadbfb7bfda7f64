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
	// carry while another one carries less.
	boundFactor = 1.7
	// boundExtra is added to the bound, in requests.
	boundExtra = 2
	// prefillRate is how many prompt tokens an engine is taken to read in a
	// millisecond.
	prefillRate = 50
	// readWeight is how much more it counts that an engine reads a prompt than
	// that the request waits, as the streams beside it wait too.
	readWeight = 10
	// requestCost is what a request slows the others beside it, in milliseconds.
	requestCost = 5
)

// Candidate is a target with its load.
type Candidate struct {
	Target crew.Target
	Load   Load
	// Held says that the target has read the shared prompt lately.
	Cached bool
	// Suspect marks a target that failed lately.
	Suspect bool
	// Tried marks a target that this request was already sent to.
	Tried bool
}

// Question is what a target is chosen for.
type Request struct {
	Work  Work
	Place string
	// Slots is the batch of a model engine; 0 for plain services.
	Slots int
	// CopyRate is how many prompt tokens an engine copies from another one in a
	// millisecond; 0 is that it does not.
	CopyRate int
	// Pace is how long a request usually stays at a target; 0 is not known.
	ServiceTime time.Duration
	// Left is how long the caller still waits.
	TimeLeft time.Duration
	// Goal is the time within which an answer should begin; 0 is not said.
	Objective time.Duration
	// Crowded is for how long requests of the service have been turned away.
	OverloadedFor time.Duration
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Random breaks ties.
	Random uint64
}

// Verdict is the outcome of a choice.
type Decision interface{ verdict() }

// Chosen names the candidate by its index.
type Chosen struct {
	Index int
	// Source is the candidate from which the chosen one may copy the shared
	// prompt, or NoSource.
	Source int
}

// NoSource says that there is nothing to copy from.
const NoSource = -1

// Full says that no target can begin the request while its caller waits, and
// when it is worth to come back.
type Overloaded struct{ RetryAfter time.Duration }

// NoTarget says that no target is left to be asked.
type NoTarget struct{}

func (Chosen) verdict()     {}
func (Overloaded) verdict() {}
func (NoTarget) verdict()   {}

// Choose picks a target. Targets that were tried are never picked; suspects
// only where nothing else is left.
func Choose(q Request, all []Candidate) Decision {
	left := make([]int, 0, len(all))
	for i, c := range all {
		if !c.Tried && !c.Suspect {
			left = append(left, i)
		}
	}
	if len(left) == 0 {
		for i, c := range all {
			if !c.Tried {
				left = append(left, i)
			}
		}
	}
	if len(left) == 0 {
		return NoTarget{}
	}
	if full, ok := turnAway(q, all, left); ok {
		return full
	}
	if key, ok := q.Work.PromptKey(); ok && q.Slots > 0 {
		return chooseCached(q, key, all, left)
	}
	return chooseIdle(q, all, left)
}

// chooseCached picks the engine that costs least: what waits there already,
// and the shared prompt where it must be read.
func chooseCached(q Request, key uint64, all []Candidate, left []int) Decision {
	total := 0
	for _, i := range left {
		total += all[i].Load.requests
	}
	mean := float64(total) / float64(len(left))
	bound := min(int(math.Ceil(boundFactor*mean))+boundExtra, q.Slots)
	within := slices.DeleteFunc(slices.Clone(left), func(i int) bool { return all[i].Load.requests >= bound })
	if len(within) == 0 {
		least := slices.MinFunc(left, func(a, b int) int {
			return cmp.Compare(all[a].Load.requests, all[b].Load.requests)
		})
		return chosen(q, all, left, least)
	}
	home := homeOf(key, all, left)
	best := slices.MinFunc(within, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(cost(q.Work, all[a], a == home), cost(q.Work, all[b], b == home)),
			cmp.Compare(score(key, all[b].Target), score(key, all[a].Target)))
	})
	return chosen(q, all, left, best)
}

// copies reports whether copying a prompt is sooner done than reading it.
func (q Request) copies() bool { return q.CopyRate > prefillRate }

// chosen names a candidate and, where it lacks the shared prompt, another one
// that holds it: in the same failure domain if possible, then the least loaded.
func chosen(q Request, all []Candidate, left []int, best int) Chosen {
	out := Chosen{Index: best, Source: NoSource}
	if all[best].Cached || !q.copies() {
		return out
	}
	place := all[best].Target.Place()
	for _, i := range left {
		if !all[i].Cached {
			continue
		}
		if out.Source < 0 || sourceOrder(place, all[i], all[out.Source]) < 0 {
			out.Source = i
		}
	}
	return out
}

func sourceOrder(place string, a, b Candidate) int {
	return cmp.Or(
		cmp.Compare(distance(place, a), distance(place, b)),
		cmp.Compare(a.Load.requests, b.Load.requests))
}

// homeOf returns the candidate that is first for a prompt in an order that all
// routers share, or -1 where some candidate is known to hold it. A router that
// remembers nothing meets the others there.
func homeOf(key uint64, all []Candidate, left []int) int {
	if slices.ContainsFunc(left, func(i int) bool { return all[i].Cached }) {
		return -1
	}
	return slices.MaxFunc(left, func(a, b int) int {
		return cmp.Compare(score(key, all[a].Target), score(key, all[b].Target))
	})
}

// cost is the time that the work takes from everybody at the target, in
// milliseconds. A copy counts like reading, as it is not free either.
func cost(w Work, c Candidate, home bool) int {
	ms := c.Load.unread/prefillRate + c.Load.requests*requestCost
	if !c.Cached && !home {
		ms += readWeight * w.ReusableTokens() / prefillRate
	}
	return ms
}

// chooseIdle picks the least loaded target, nearer ones first.
func chooseIdle(q Request, all []Candidate, left []int) Decision {
	best := slices.MinFunc(left, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(fill(all[a]), fill(all[b])),
			cmp.Compare(distance(q.Place, all[a]), distance(q.Place, all[b])),
			cmp.Compare(mix(q.Random^score(0, all[a].Target)), mix(q.Random^score(0, all[b].Target))))
	})
	return Chosen{Index: best, Source: NoSource}
}

// fill is the load over the slots; targets with free slots are alike as long
// as they are under half full.
func fill(c Candidate) float64 {
	f := float64(c.Load.requests) / float64(max(c.Target.Slots(), 1))
	if f < 0.34 {
		return 0
	}
	return f
}

func distance(place string, c Candidate) int {
	if c.Target.Place() == place {
		return 0
	}
	return 1
}

// score ranks a target for a key by rendezvous hashing.
func score(key uint64, t crew.Target) uint64 {
	return mix(key ^ uint64(KeyOf(t.ID())))
}
