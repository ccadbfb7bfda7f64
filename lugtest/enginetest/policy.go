package enginetest

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vanillalug.example/fitting"
)

// Policy chooses an engine for a request or rejects it.
type Policy interface {
	Choose(q fitting.Request, all []fitting.Candidate) fitting.Decision
	// Observe receives the service time of a request that was served.
	Observe(d time.Duration)
}

// PolicyFunc is a policy without state.
type PolicyFunc func(fitting.Request, []fitting.Candidate) fitting.Decision

// Choose implements Policy.
func (s PolicyFunc) Choose(q fitting.Request, all []fitting.Candidate) fitting.Decision {
	return s(q, all)
}

// Observe implements Policy.
func (PolicyFunc) Observe(time.Duration) {}

// CostBased returns the policy of the router.
func CostBased() Policy { return PolicyFunc(fitting.Choose) }

// ByStartOnly returns a policy that rejects only requests that would wait too long for a slot, as
// the router did before it knew of memory and shares.
func ByStartOnly() Policy {
	return PolicyFunc(func(q fitting.Request, all []fitting.Candidate) fitting.Decision {
		q.KVCapacity, q.Overuse, q.PrefillTime = 0, 0, 0
		return fitting.Choose(q, all)
	})
}

// withoutRoom returns the request without what the router rejects requests by.
func withoutRoom(q fitting.Request) fitting.Request {
	q.ServiceTime, q.PrefillTime, q.KVCapacity = 0, 0, 0
	return q
}

// Unlimited returns a policy that never rejects; only full queues of engines
// shed requests.
func Unlimited() Policy {
	return PolicyFunc(func(q fitting.Request, all []fitting.Candidate) fitting.Decision {
		q = withoutRoom(q)
		return fitting.Choose(q, all)
	})
}

// FixedLimit returns a policy that rejects requests while every slot is in use.
func FixedLimit() Policy {
	return PolicyFunc(func(q fitting.Request, all []fitting.Candidate) fitting.Decision {
		if minLoad(all) >= q.Slots {
			return fitting.Overloaded{RetryAfter: shedRetryAfter}
		}
		q = withoutRoom(q)
		return fitting.Choose(q, all)
	})
}

// gradient is a concurrency limit that adapts to the ratio of the lowest to the
// current mean service time.
type gradient struct {
	limit, mean, best float64
}

const (
	gradientStart     = 64
	gradientMin       = 4
	gradientTolerance = 1.5
	gradientWeight    = 0.1
)

// GradientLimit returns a policy that limits concurrency by the gradient of the
// service time.
func GradientLimit() Policy { return &gradient{limit: gradientStart} }

// Choose implements Policy.
func (g *gradient) Choose(q fitting.Request, all []fitting.Candidate) fitting.Decision {
	if minLoad(all) >= int(g.limit) {
		return fitting.Overloaded{RetryAfter: shedRetryAfter}
	}
	q = withoutRoom(q)
	return fitting.Choose(q, all)
}

// Observe implements Policy.
func (g *gradient) Observe(d time.Duration) {
	if g.mean == 0 {
		g.mean = d.Seconds()
		g.best = g.mean
	}
	g.mean += gradientWeight * (d.Seconds() - g.mean)
	g.best = min(g.best, g.mean)
	change := max(0.5, min(1, gradientTolerance*g.best/g.mean))
	g.limit += gradientWeight * (g.limit*change + math.Sqrt(g.limit) - g.limit)
	g.limit = max(g.limit, gradientMin)
}

// minLoad returns the number of requests at the least loaded candidate.
func minLoad(all []fitting.Candidate) int {
	c := slices.MinFunc(all, func(a, b fitting.Candidate) int {
		return cmp.Compare(a.Load.Requests(), b.Load.Requests())
	})
	return c.Load.Requests()
}
