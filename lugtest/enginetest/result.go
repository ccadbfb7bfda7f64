package enginetest

import "maps"

// Result counts what became of the requests of a replay.
type Result struct {
	Requests int
	// InTime began within their goal and ended, Late began later.
	InTime, Late int
	// Refused were turned away for good, Expired were not done when their caller
	// left.
	Rejected, Expired int
	// Sends is how often requests were sent to engines.
	Sends int
	// ReadAgain is the tokens that were read though an engine had them.
	ReprefilledTokens int
	// PromptOf counts those in time by rank.
	InTimeByRank, RequestsByRank map[int]int
	// Over counts sends to an engine with more than twice the mean load and
	// three, which is the users' limit.
	OverLimit int
}

// Served is the share of requests that were served, in time or late.
func (r Result) ServedShare() float64 { return share(r.InTime+r.Late, r.Requests) }

// Prompt is the share that was served in time.
func (r Result) InTimeShare() float64 { return share(r.InTime, r.Requests) }

// Plus returns the sum of two results.
func (r Result) Plus(o Result) Result {
	return Result{
		InTimeByRank: sum(r.InTimeByRank, o.InTimeByRank), RequestsByRank: sum(r.RequestsByRank, o.RequestsByRank),
		Requests: r.Requests + o.Requests, InTime: r.InTime + o.InTime, Late: r.Late + o.Late,
		Rejected: r.Rejected + o.Rejected, Expired: r.Expired + o.Expired, Sends: r.Sends + o.Sends,
		ReprefilledTokens: r.ReprefilledTokens + o.ReprefilledTokens, OverLimit: r.OverLimit + o.OverLimit,
	}
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

func sum(a, b map[int]int) map[int]int {
	out := maps.Clone(b)
	for k, n := range a {
		out[k] += n
	}
	return out
}

// PromptIn is the share of a rank that was served in time.
func (r Result) InTimeShareOf(rank int) float64 {
	return share(r.InTimeByRank[rank], r.RequestsByRank[rank])
}
