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
	full := func(i int) bool { return all[i].Load.requests > 0 && q.lackingTokens(all[i], mean) > 0 }
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

// lackingTokens returns how many tokens the engine lacks for the request until its end; less than 0
// if it has more. The mean is for requests whose tokens are unknown.
func (q Request) lackingTokens(c Candidate, mean int) int {
	capacity := float64(q.KVCapacity)
	if q.OverloadedFor > 0 {
		capacity *= 1 - min(urgentReserve*float64(max(q.Priority, 0)), 0.5)
	}
	return c.Load.expectedKVTokens(mean) + q.Work.KVTokens(c.Cached) - int(capacity)
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
	lacking := math.MaxInt
	for _, i := range left {
		lacking = min(lacking, q.lackingTokens(all[i], mean))
	}
	return time.Duration(float64(q.ServiceTime) * min(float64(max(lacking, 0))/float64(q.KVCapacity), 1))
}
