package admission

import (
	"math"
	"runtime"
	"sync"

	"vanillalug.example/lugtest/enginetest"
)

// Policy is a way to turn requests away.
type Policy struct {
	Name string
	New  func() enginetest.Policy
}

// Policies are the ways that are compared.
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

// Cases are the patterns that are replayed.
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

// Estimate is a mean with half of its 95% interval.
type Estimate struct{ Mean, HalfWidth float64 }

// Outcome is what became of a pattern with a way, over all seeds.
type Outcome struct {
	InTime, Served, Rejected, Expired, Sends, Reprefilled, OverLimit Estimate
}

// Run replays a pattern with a way for a number of seeds.
func Run(p enginetest.Pattern, w Policy, seeds int) Outcome {
	results := make([]enginetest.Result, seeds)
	var group sync.WaitGroup
	free := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range seeds {
		free <- struct{}{}
		group.Go(func() {
			results[seed] = enginetest.Simulate(enginetest.SmallDeployment(), p, uint64(seed), w.New)
			<-free
		})
	}
	group.Wait()
	of := func(value func(enginetest.Result) float64) Estimate { return estimate(results, value) }
	each := func(n int, r enginetest.Result) float64 { return float64(n) / float64(r.Requests) }
	return Outcome{
		InTime:      of(enginetest.Result.InTimeShare),
		Served:      of(enginetest.Result.ServedShare),
		Rejected:    of(func(r enginetest.Result) float64 { return each(r.Rejected, r) }),
		Expired:     of(func(r enginetest.Result) float64 { return each(r.Expired, r) }),
		Sends:       of(func(r enginetest.Result) float64 { return each(r.Sends, r) }),
		Reprefilled: of(func(r enginetest.Result) float64 { return each(r.ReprefilledTokens, r) }),
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
