// Package capacity compares ways to find out how much load each engine takes well, on simulated
// engines of different and changing speeds.
package capacity

import (
	"runtime"
	"sync"
	"time"

	"vanillalug.example/capacity"
	"vanillalug.example/lugtest/enginetest"
)

// Case is a pattern of speeds with its name.
type Case struct {
	Name    string
	Pattern enginetest.SpeedPattern
}

// Cases returns the patterns that are compared.
func Cases() []Case {
	const high = 1.5
	noise := enginetest.SpeedPattern{NoiseShare: 0.15, NoiseFactor: 2.5, NoiseTime: 600 * time.Millisecond}
	silent := enginetest.SpeedPattern{SilentShare: 0.16, SilentFactor: 5, SilentEvery: 8 * time.Second, SilentTime: 6 * time.Second}
	all := noise
	all.Speeds = []float64{1, 1.3, 1, 1 / 1.3, 1, 1}
	all.SilentShare, all.SilentFactor, all.SilentEvery, all.SilentTime = silent.SilentShare, silent.SilentFactor, silent.SilentEvery, silent.SilentTime
	cases := []Case{
		{"all as usual", enginetest.SpeedPattern{}},
		{"a third 1.3 times as fast or slow", enginetest.SpeedPattern{Speeds: []float64{1, 1.3, 1, 1 / 1.3, 1, 1}}},
		{"speeds 1 to 3", enginetest.SpeedPattern{Speeds: []float64{1, 1.5, 2, 3}}},
		{"stated noise", noise},
		{"silent slowdown", silent},
		{"all of them", all},
	}
	for _, c := range cases[:len(cases):len(cases)] {
		c.Name += ", more load"
		c.Pattern.LoadFactor = high
		cases = append(cases, c)
	}
	return cases
}

// Way is a policy with its name.
type Way struct {
	Name string
	// New returns the policies of one run.
	New func() func(keys []capacity.TargetKey) enginetest.SpeedPolicy
}

// Ways returns the policies that are compared.
func Ways() []Way {
	each := func(policy func([]capacity.TargetKey) enginetest.SpeedPolicy) func() func([]capacity.TargetKey) enginetest.SpeedPolicy {
		return func() func([]capacity.TargetKey) enginetest.SpeedPolicy { return policy }
	}
	return []Way{
		{"loads alone", each(enginetest.Unobserved)},
		{"Vegas limit", enginetest.VegasLimits},
		{"gradient limit", enginetest.GradientLimits},
		{"additive increase", enginetest.AdditiveIncrease},
		{"model, own observations", each(enginetest.ModelAlone)},
		{"model, stated ignored", each(enginetest.ModelUnstated)},
		{"model", each(enginetest.Model)},
	}
}

// Outcome is the mean over all seeds of what callers got.
type Outcome struct {
	InTime, Smooth, Good, Worst, Refused, OverLimit, Reports float64
}

// Run returns the mean outcome of a way on a pattern.
func Run(d enginetest.Deployment, p enginetest.SpeedPattern, w Way, seeds int) Outcome {
	results := make([]enginetest.SpeedResult, seeds)
	slots := make(chan struct{}, max(runtime.NumCPU()/3, 1))
	var wg sync.WaitGroup
	for seed := range seeds {
		slots <- struct{}{}
		wg.Go(func() {
			results[seed] = enginetest.SimulateSpeeds(d, p, uint64(seed), w.New(), nil)
			<-slots
		})
	}
	wg.Wait()
	var out Outcome
	for _, r := range results {
		n := float64(seeds)
		out.InTime += r.InTimeShare() / n
		out.Smooth += r.SmoothShare() / n
		out.Good += r.GoodShare() / n
		out.Worst += r.Worst / n
		out.Refused += float64(r.Refused) / float64(r.Requests) / n
		out.OverLimit += float64(r.OverLimit) / float64(r.Requests) / n
		out.Reports += r.Reports / n
	}
	return out
}
