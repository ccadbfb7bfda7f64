package fitting

import (
	"math"
	"slices"
	"time"
)

// urgentReserve is the part of an engine's memory that each priority rank leaves to the more urgent
// ones while requests are rejected.
const urgentReserve = 0.08

// withMemory returns the candidates that have room in their KV cache until the request's end. It
// returns all if none is short, and MemoryShortage if no candidate has room.
func withMemory(q Request, all []Candidate, left []int) ([]int, Shortage) {
	if q.KVCapacity <= 0 || q.Work.promptTokens <= 0 {
		return left, NoShortage
	}
	mean, known := meanKVTokens(all, left)
	if !known {
		return left, NoShortage
	}
	need := q.memoryNeed(mean)
	full := func(i int) bool { return all[i].Load.requests > 0 && need.lacking(&all[i]) > 0 }
	if !slices.ContainsFunc(left, full) {
		return left, NoShortage
	}
	limit := loadLimit(all, left)
	some := slices.DeleteFunc(slices.Clone(left), func(i int) bool { return full(i) || all[i].Load.requests >= limit })
	if len(some) == 0 {
		return left, MemoryShortage
	}
	return some, NoShortage
}

// memoryNeed is what a request needs of an engine's memory, in tokens.
type memoryNeed struct {
	// capacity is what the engine has for the request and those that it runs.
	capacity int
	// cached and uncached are the tokens that the request needs where its prompt is cached, and
	// elsewhere; mean is for requests whose tokens are unknown.
	cached, uncached, mean int
}

func (q Request) memoryNeed(mean int) memoryNeed {
	capacity := float64(q.KVCapacity)
	if q.OverloadedFor > 0 {
		capacity *= 1 - min(urgentReserve*float64(max(q.Priority, 0)), 0.5)
	}
	return memoryNeed{capacity: int(capacity), cached: q.Work.KVTokens(true), uncached: q.Work.KVTokens(false), mean: mean}
}

// lacking returns how many tokens the engine lacks for the request until its end; less than 0 if it
// has more.
func (n memoryNeed) lacking(c *Candidate) int {
	own := n.uncached
	if c.Cached {
		own = n.cached
	}
	return c.Load.expectedKVTokens(n.mean) + own - n.capacity
}

// meanKVTokens returns the mean tokens of the requests at the candidates, or false if none are
// known.
func meanKVTokens(all []Candidate, left []int) (mean int, known bool) {
	tokens, requests := 0, 0
	for _, i := range left {
		tokens += all[i].Load.kvTokens
		requests += all[i].Load.kvRequests
	}
	if requests <= 0 {
		return 0, false
	}
	return tokens / requests, true
}

// loadLimit returns the number of requests at which a target is over the bound of placement, from
// the mean of all candidates: leaving some out for their memory must not overload the others.
func loadLimit(all []Candidate, left []int) int {
	total := 0
	for _, i := range left {
		total += all[i].Load.requests
	}
	return int(math.Ceil(boundFactor*float64(total)/float64(len(left)))) + boundExtra
}

// memoryWait returns the time until the request is likely to have room in memory at the candidate
// where it lacks least: requests free what they hold within the service time.
func (q Request) memoryWait(all []Candidate, left []int) time.Duration {
	mean, _ := meanKVTokens(all, left)
	need := q.memoryNeed(mean)
	lacking := math.MaxInt
	for _, i := range left {
		lacking = min(lacking, need.lacking(&all[i]))
	}
	return time.Duration(float64(q.ServiceTime) * min(float64(max(lacking, 0))/float64(q.KVCapacity), 1))
}
