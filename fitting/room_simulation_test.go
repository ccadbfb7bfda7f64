package fitting_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/fitting"
	"vanillalug.example/lugtest/enginetest"
)

// roomCase is a load pattern on a deployment that has too little room for it, or just enough.
type roomCase struct {
	deployment enginetest.Deployment
	pattern    enginetest.Pattern
	// shortage is one that requests are refused for.
	shortage fitting.Shortage
}

func roomCases() map[string]roomCase {
	const hotTime = 6500 * time.Millisecond
	hot := enginetest.Pattern{HotWorkspaceFactor: 7.5, HotWorkspaceTime: hotTime}
	burst := enginetest.Pattern{SurgeFactor: 1.7, SurgeTime: 3 * time.Second}
	hard, large := enginetest.HardDeployment(), enginetest.LargeHardDeployment()
	few := hard
	few.Slots, few.Memory.Tokens = 12, 419409
	shared := hard.WithLoad(enginetest.UrgentLong, 5).WithLoad(enginetest.PlainLong, 5)
	return map[string]roomCase{
		"slots":                    {few, enginetest.Pattern{SurgeFactor: 2}, fitting.SlotShortage},
		"memory":                   {enginetest.LongPromptDeployment(), enginetest.Pattern{SurgeFactor: 1.5}, fitting.MemoryShortage},
		"prompts that are shared":  {shared, enginetest.Pattern{}, fitting.PrefillShortage},
		"long prompts":             {hard.WithLoad("", 1.5), enginetest.Pattern{SurgeFactor: 8, SurgingClass: enginetest.PlainLong}, fitting.PrefillShortage},
		"long answers":             {hard, enginetest.Pattern{SurgeFactor: 10, SurgingClass: enginetest.LongAnswer}, fitting.SlotShortage},
		"hot workspace":            {hard.WithLoad("", 1.8), hot, fitting.ShareShortage},
		"hot workspace, few slots": {few.WithLoad("", 0.8), hot, fitting.ShareShortage},
		"burst":                    {hard.WithLoad("", 2.4), burst, fitting.SlotShortage},
		"half of the targets lost": {hard.WithLoad("", 1.3), enginetest.Pattern{LostEngines: 3}, fitting.SlotShortage},
		"131 routers":              {large.WithLoad("", 1.7), hot, fitting.ShareShortage},
	}
}

// simulate returns the sum of the results over all seeds, of which a large fleet has one.
func (c roomCase) simulate(policy func() enginetest.Policy) enginetest.Result {
	const largeFleet, seeds = 100, 6
	if c.deployment.Routers > largeFleet {
		return enginetest.Simulate(c.deployment, c.pattern, 1, policy)
	}
	var out enginetest.Result
	for seed := range uint64(seeds) {
		out = out.Plus(enginetest.Simulate(c.deployment, c.pattern, seed, policy))
	}
	return out
}

// TestSimulatedRoom guards against admission that is worth less to callers than waiting for slots
// alone, in a shortage of any kind, or that serves urgent requests worse than others.
func TestSimulatedRoom(t *testing.T) {
	const (
		// noise is how much less than before a share of credit may be, as the mean of few simulations.
		noise = 0.03
		// maxLater is how much larger the share of late ones may be of urgent requests.
		maxLater = 0.15
	)
	urgent := func(rank int) func(enginetest.Outcome) bool {
		return func(o enginetest.Outcome) bool { return o.Rank == rank }
	}
	for name, tt := range roomCases() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			before, after := tt.simulate(enginetest.ByStartOnly), tt.simulate(enginetest.CostBased)
			for of, r := range map[string]enginetest.Result{"before": before, "after": after} {
				t.Logf("%s: credit %.3f, worst seconds %.3f, worst class %.3f, of workspace 0 %.3f, late %.3f and %.3f, %d preempted, %v",
					of, r.WholeCredit(), r.WorstSeconds(), r.WorstClass(), r.Credit(func(o enginetest.Outcome) bool { return o.Workspace == 0 }),
					r.LateShare(urgent(0)), r.LateShare(urgent(1)), r.Preemptions, r.Shortages)
			}
			require.GreaterOrEqual(t, after.WholeCredit(), before.WholeCredit()-noise)
			require.GreaterOrEqual(t, after.WorstSeconds(), before.WorstSeconds()-2*noise)
			require.GreaterOrEqual(t, after.WorstClass(), before.WorstClass()-noise)
			require.GreaterOrEqual(t, after.Credit(urgent(0)), after.Credit(urgent(1)))
			require.LessOrEqual(t, after.LateShare(urgent(0)), after.LateShare(urgent(1))+maxLater)
			require.LessOrEqual(t, after.OverLimit, 3*after.Sends/100)
			require.Positive(t, after.Shortages[tt.shortage], "the reason is named")
		})
	}
}

// TestHotWorkspaceIsRefusedFirst guards against one workspace taking the room of the others.
func TestHotWorkspaceIsRefusedFirst(t *testing.T) {
	tt := roomCases()["hot workspace"]
	others := func(o enginetest.Outcome) bool { return o.Workspace != 0 }
	before := enginetest.Simulate(tt.deployment, tt.pattern, 2, enginetest.ByStartOnly)
	after := enginetest.Simulate(tt.deployment, tt.pattern, 2, enginetest.CostBased)
	require.Greater(t, after.Credit(others), before.Credit(others)+0.02)
	require.Greater(t, after.Credit(others), after.WholeCredit())
}

// TestSimulatedUsualLoad guards against any difference where nothing is short.
func TestSimulatedUsualLoad(t *testing.T) {
	for seed := range uint64(simulationSeeds) {
		before := enginetest.Simulate(enginetest.HardDeployment(), enginetest.Pattern{}, seed, enginetest.ByStartOnly)
		after := enginetest.Simulate(enginetest.HardDeployment(), enginetest.Pattern{}, seed, enginetest.CostBased)
		require.Equal(t, before, after)
	}
}
