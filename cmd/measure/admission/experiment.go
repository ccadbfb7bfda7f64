package admission

import (
	"math"
	"runtime"
	"sync"

	"vanillalug.example/lugtest/enginetest"
)

// Policy is a rejection policy with its name.
type Policy struct {
	Name string
	New  func() enginetest.Policy
}

// Policies returns the policies to compare.
func Policies() []Policy {
	return []Policy{
		{"none", enginetest.Unlimited},
		{"fixed limit", enginetest.FixedLimit},
		{"gradient", enginetest.GradientLimit},
		{"cost and goal", enginetest.CostBased},
	}
}

// Case is a load pattern with its name.
type Case struct {
	Name    string
	Pattern enginetest.Pattern
}

// Cases returns the patterns to replay.
func Cases() []Case {
	return []Case{
		{"steady", enginetest.Pattern{}},
		{"one hot prompt", enginetest.Pattern{HotPromptShare: 0.3}},
		{"burst of 4", enginetest.Pattern{SurgeFactor: 4}},
		{"burst of 14", enginetest.Pattern{SurgeFactor: 14}},
		{"half of the engines lost, twice the load", enginetest.Pattern{LostEngines: 4, LoadFactor: 2}},
		{"two engines slow, burst of 4", enginetest.Pattern{SlowEngines: 2, SurgeFactor: 4}},
		{"routers forget, engines join", enginetest.Pattern{ResetCacheIndexes: true, JoiningEngines: 5}},
	}
}

// Estimate is a mean with half the width of its 95% confidence interval.
type Estimate struct{ Mean, HalfWidth float64 }

// Outcome holds the results of a pattern under a policy, over all seeds: shares
// of requests, Sends and Reprefilled tokens per request, and the share of sends
// that were OverLimit.
type Outcome struct {
	InTime, Served, Rejected, Expired, Sends, Reprefilled, OverLimit Estimate
}

// Run replays a pattern under a policy for a number of seeds.
func Run(p enginetest.Pattern, w Policy, seeds int) Outcome {
	results := make([]enginetest.Result, seeds)
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range seeds {
		slots <- struct{}{}
		group.Go(func() {
			results[seed] = enginetest.Simulate(enginetest.SmallDeployment(), p, uint64(seed), w.New)
			<-slots
		})
	}
	group.Wait()
	of := func(value func(enginetest.Result) float64) Estimate { return estimate(results, value) }
	perRequest := func(n int, r enginetest.Result) float64 { return float64(n) / float64(r.Requests) }
	return Outcome{
		InTime:      of(enginetest.Result.InTimeShare),
		Served:      of(enginetest.Result.ServedShare),
		Rejected:    of(func(r enginetest.Result) float64 { return perRequest(r.Rejected, r) }),
		Expired:     of(func(r enginetest.Result) float64 { return perRequest(r.Expired, r) }),
		Sends:       of(func(r enginetest.Result) float64 { return perRequest(r.Sends, r) }),
		Reprefilled: of(func(r enginetest.Result) float64 { return perRequest(r.ReprefilledTokens, r) }),
		OverLimit:   of(func(r enginetest.Result) float64 { return float64(r.OverLimit) / float64(max(r.Sends, 1)) }),
	}
}

// normal95 is the 97.5% quantile of the normal distribution.
const normal95 = 1.96

func estimate(results []enginetest.Result, value func(enginetest.Result) float64) Estimate {
	n := float64(len(results))
	var sum, squares float64
	for _, r := range results {
		v := value(r)
		sum += v
		squares += v * v
	}
	mean := sum / n
	if n < 2 {
		return Estimate{Mean: mean}
	}
	variance := max(squares/n-mean*mean, 0) * n / (n - 1)
	return Estimate{Mean: mean, HalfWidth: normal95 * math.Sqrt(variance/n)}
}
