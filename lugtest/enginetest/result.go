package enginetest

import (
	"maps"
	"slices"

	"vanillalug.example/fitting"
)

// Result counts the outcomes of the requests of a simulation.
type Result struct {
	Requests int
	// InTime requests returned the first token within their goal and completed,
	// Late ones returned it later.
	InTime, Late int
	// Rejected requests were rejected for the last time, Expired ones were not
	// completed when their caller disconnected.
	Rejected, Expired int
	// Sends is how often a request was sent to an engine.
	Sends int
	// ReprefilledTokens is the number of tokens that were prefilled although an
	// engine had them cached.
	ReprefilledTokens int
	// InTimeByRank counts the requests in time and RequestsByRank all requests,
	// by priority rank.
	InTimeByRank, RequestsByRank map[int]int
	// OverLimit counts sends to an engine with more than twice the mean load
	// plus three, which is the users' limit.
	OverLimit int
	// Preemptions counts the requests that an engine moved back to its queue, Shortages the
	// rejections by what there was too little of.
	Preemptions int
	Shortages   map[fitting.Shortage]int
	// Outcomes has each request.
	Outcomes []Outcome
}

// ServedShare returns the share of requests that were served, in time or late.
func (r Result) ServedShare() float64 { return ratio(r.InTime+r.Late, r.Requests) }

// InTimeShare returns the share of requests that were served in time.
func (r Result) InTimeShare() float64 { return ratio(r.InTime, r.Requests) }

// Plus returns the sum of two results.
func (r Result) Plus(o Result) Result {
	return Result{
		InTimeByRank: addCounts(r.InTimeByRank, o.InTimeByRank), RequestsByRank: addCounts(r.RequestsByRank, o.RequestsByRank),
		Requests: r.Requests + o.Requests, InTime: r.InTime + o.InTime, Late: r.Late + o.Late,
		Rejected: r.Rejected + o.Rejected, Expired: r.Expired + o.Expired, Sends: r.Sends + o.Sends,
		ReprefilledTokens: r.ReprefilledTokens + o.ReprefilledTokens, OverLimit: r.OverLimit + o.OverLimit,
		Preemptions: r.Preemptions + o.Preemptions, Shortages: addCounts(r.Shortages, o.Shortages),
		Outcomes: slices.Concat(r.Outcomes, o.Outcomes),
	}
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func addCounts[K comparable](a, b map[K]int) map[K]int {
	out := maps.Clone(b)
	if out == nil {
		out = map[K]int{}
	}
	for k, n := range a {
		out[k] += n
	}
	return out
}

// InTimeShareOf returns the share of a priority rank that was served in time.
func (r Result) InTimeShareOf(rank int) float64 {
	return ratio(r.InTimeByRank[rank], r.RequestsByRank[rank])
}
