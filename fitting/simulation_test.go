package fitting_test

import (
	"cmp"
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/fitting"
	"vanillalug.example/lugtest/enginetest"
)

// simulationSeeds is the number of simulations of each pattern.
const simulationSeeds = 3

// simulate returns the sum of the results of a pattern over all seeds.
func simulate(p enginetest.Pattern, policy func() enginetest.Policy) enginetest.Result {
	var out enginetest.Result
	for seed := range uint64(simulationSeeds) {
		out = out.Plus(enginetest.Simulate(enginetest.SmallDeployment(), p, seed, policy))
	}
	return out
}

// byHashOrder chooses without a cache index: the first engine in rendezvous
// order that is under a load bound.
func byHashOrder() enginetest.Policy {
	return enginetest.PolicyFunc(func(q fitting.Request, all []fitting.Candidate) fitting.Decision {
		key, _ := q.Work.PromptKey()
		total := 0
		for _, c := range all {
			total += c.Load.Requests()
		}
		bound := 1.3*float64(total)/float64(len(all)) + 2
		order := make([]int, len(all))
		for i := range all {
			order[i] = i
		}
		rank := func(i int) uint64 { return fitting.PromptKey(all[i].Target.ID(), key) }
		slices.SortFunc(order, func(a, b int) int { return cmp.Compare(rank(b), rank(a)) })
		for _, i := range order {
			if float64(all[i].Load.Requests()) < bound {
				return fitting.Chosen{Index: i, Source: fitting.NoSource}
			}
		}
		return fitting.Chosen{Index: order[0], Source: fitting.NoSource}
	})
}

// TestSimulatedPatterns checks that under each pattern fewer prompt tokens are
// prefilled again than with the rendezvous order alone, and that at most 3 in
// 100 requests go to an engine above twice the mean load plus three, which is
// the users' requirement.
func TestSimulatedPatterns(t *testing.T) {
	tests := map[string]enginetest.Pattern{
		"steady":                   {},
		"hot prompt":               {HotPromptShare: 0.3},
		"burst":                    {SurgeFactor: 2.5},
		"engines join":             {JoiningEngines: 5},
		"cache indexes lost":       {ResetCacheIndexes: true},
		"half of the engines lost": {LostEngines: 4, SurgeFactor: 1.5},
		"two slow engines":         {SlowEngines: 2},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			chosen, order := simulate(p, enginetest.CostBased), simulate(p, byHashOrder)
			t.Logf("%d requests, in time %.3f, prefilled again %d against %d tokens, %d over the limit",
				chosen.Requests, chosen.InTimeShare(), chosen.ReprefilledTokens, order.ReprefilledTokens, chosen.OverLimit)
			require.Less(t, chosen.ReprefilledTokens, order.ReprefilledTokens)
			require.LessOrEqual(t, chosen.OverLimit, 3*chosen.Sends/100)
		})
	}
}

// TestSimulatedOverload checks that, with far more load than the engines can
// serve, more requests start in time than without admission control, nearly none
// expire, and more urgent ones are served at least as often. At the usual load
// nothing is rejected.
func TestSimulatedOverload(t *testing.T) {
	const surge = 14
	t.Run("overload", func(t *testing.T) {
		t.Parallel()
		p := enginetest.Pattern{SurgeFactor: surge}
		with, without := simulate(p, enginetest.CostBased), simulate(p, enginetest.Unlimited)
		t.Logf("in time %.3f against %.3f, served %.3f against %.3f, expired %d against %d",
			with.InTimeShare(), without.InTimeShare(), with.ServedShare(), without.ServedShare(), with.Expired, without.Expired)
		for rank := range enginetest.SmallDeployment().Ranks {
			t.Logf("rank %d in time %.3f against %.3f", rank, with.InTimeShareOf(rank), without.InTimeShareOf(rank))
		}
		require.Greater(t, with.InTimeShare(), 1.1*without.InTimeShare())
		require.GreaterOrEqual(t, with.ServedShare(), without.ServedShare())
		require.Less(t, with.Expired, without.Expired/10)
		require.GreaterOrEqual(t, with.InTimeShareOf(0), with.InTimeShareOf(1))
		require.GreaterOrEqual(t, with.InTimeShareOf(1), with.InTimeShareOf(2))
	})
	t.Run("usual load", func(t *testing.T) {
		t.Parallel()
		r := simulate(enginetest.Pattern{}, enginetest.CostBased)
		require.Zero(t, r.Rejected)
		require.Greater(t, r.InTimeShare(), 0.99)
	})
	t.Run("each request is counted once", func(t *testing.T) {
		t.Parallel()
		r := simulate(enginetest.Pattern{SurgeFactor: surge}, enginetest.CostBased)
		require.Equal(t, r.Requests, r.InTime+r.Late+r.Rejected+r.Expired, "each request has one outcome")
		require.False(t, math.IsNaN(r.ServedShare()))
	})
}

// TestSimulatedLargeFleet checks the load bound at the size of the users' large fleet,
// where the loads of peers are up to 1.8 s old: at most 3 in 100 requests go to an
// engine above twice the mean load plus three.
func TestSimulatedLargeFleet(t *testing.T) {
	tests := map[string]enginetest.Pattern{
		"steady":                     {},
		"surge":                      {SurgeFactor: 3},
		"hot prompt":                 {HotPromptShare: 0.3},
		"overload":                   {SurgeFactor: 6},
		"far too much, a hot prompt": {SurgeFactor: 6, HotPromptShare: 0.2},
	}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := enginetest.Simulate(enginetest.LargeDeployment(), p, 1, enginetest.CostBased)
			t.Logf("%d of %d over the limit, in time %.3f, prefilled again %d", r.OverLimit, r.Sends, r.InTimeShare(), r.ReprefilledTokens)
			require.LessOrEqual(t, r.OverLimit, 3*r.Sends/100)
		})
	}
}

// TestSpreadHotPrompts checks that spreading hot prompts helps where the router's own
// policy does not keep the bound.
func TestSpreadHotPrompts(t *testing.T) {
	p := enginetest.Pattern{HotPromptShare: 0.3}
	chosen := enginetest.Simulate(enginetest.LargeDeployment(), p, 1, enginetest.CostBased)
	spread := enginetest.Simulate(enginetest.LargeDeployment(), p, 1, enginetest.SpreadHotPrompts)
	require.Less(t, spread.OverLimit, chosen.OverLimit)
	require.Greater(t, spread.InTimeShare(), chosen.InTimeShare())
}
