package enginetest

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vanillalug.example/fitting"
)

// Way is a way to choose an engine or to turn a request away.
type Policy interface {
	Choose(q fitting.Request, all []fitting.Candidate) fitting.Decision
	// Done tells of a request that was served within the time.
	Observe(d time.Duration)
}

// Stateless is a way that learns nothing.
type PolicyFunc func(fitting.Request, []fitting.Candidate) fitting.Decision

// Choose implements Way.
func (s PolicyFunc) Choose(q fitting.Request, all []fitting.Candidate) fitting.Decision {
	return s(q, all)
}

// Done implements Way.
func (PolicyFunc) Observe(time.Duration) {}

// ByCost is what the router does.
func CostBased() Policy { return PolicyFunc(fitting.Choose) }

// Unlimited turns nothing away before the engines' queues are full.
func Unlimited() Policy {
	return PolicyFunc(func(q fitting.Request, all []fitting.Candidate) fitting.Decision {
		q.ServiceTime = 0
		return fitting.Choose(q, all)
	})
}

// Fixed turns requests away when every slot is taken.
func FixedLimit() Policy {
	return PolicyFunc(func(q fitting.Request, all []fitting.Candidate) fitting.Decision {
		if least(all) >= q.Slots {
			return fitting.Overloaded{RetryAfter: shedReturn}
		}
		q.ServiceTime = 0
		return fitting.Choose(q, all)
	})
}

// gradient is a limit that follows how much longer requests take than they did
// at best.
type gradient struct {
	limit, mean, best float64
}

const (
	gradientStart     = 64
	gradientLeast     = 4
	gradientTolerance = 1.5
	gradientWeight    = 0.1
)

// Gradient limits requests by the gradient of their latency.
func GradientLimit() Policy { return &gradient{limit: gradientStart} }

// Choose implements Way.
func (g *gradient) Choose(q fitting.Request, all []fitting.Candidate) fitting.Decision {
	if least(all) >= int(g.limit) {
		return fitting.Overloaded{RetryAfter: shedReturn}
	}
	q.ServiceTime = 0
	return fitting.Choose(q, all)
}

// Done implements Way.
func (g *gradient) Observe(d time.Duration) {
	if g.mean == 0 {
		g.mean = d.Seconds()
		g.best = g.mean
	}
	g.mean += gradientWeight * (d.Seconds() - g.mean)
	g.best = min(g.best, g.mean)
	change := max(0.5, min(1, gradientTolerance*g.best/g.mean))
	g.limit += gradientWeight * (g.limit*change + math.Sqrt(g.limit) - g.limit)
	g.limit = max(g.limit, gradientLeast)
}

// least is the smallest load.
func least(all []fitting.Candidate) int {
	c := slices.MinFunc(all, func(a, b fitting.Candidate) int {
		return cmp.Compare(a.Load.Requests(), b.Load.Requests())
	})
	return c.Load.Requests()
}
