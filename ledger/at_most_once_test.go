package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

func (s *simulation) pending() []*attempt {
	var out []*attempt
	for _, a := range s.attempts {
		if a.next != nil && !a.killed {
			out = append(out, a)
		}
	}
	return out
}

// check compares the results with the executions at the target.
func (s *simulation) check(t *rapid.T) {
	for key, n := range s.effects {
		require.LessOrEqual(t, n, 1, "key %s ran %d times", key, n)
	}
	for _, a := range s.attempts {
		switch v := a.result.(type) {
		case NotRun:
			require.Zero(t, a.runs, "%s returned not-run", a.claim.Attempt())
		case Ran:
			require.Equal(t, 1, s.effects[a.key], "%s returned done", a.claim.Attempt())
			body := string(v.Outcome.Body())
			if first, ok := s.responses[a.key]; ok {
				require.Equal(t, first, body)
			}
			s.responses[a.key] = body
		}
	}
}

// TestCallAtMostOnce runs concurrent attempts with a failing table, a failing
// target, paused and killed routers and delayed writes in random order. No key is
// executed twice, and no attempt that was executed is reported as not run.
func TestCallAtMostOnce(t *testing.T) {
	for name, outcomeQuery := range map[string]bool{"without-outcome-query": false, "with-outcome-query": true} {
		t.Run(name, func(t *testing.T) {
			steps, effects, results := 0, 0, map[string]int{}
			lugtest.Check(t, "300", "60", func(t *rapid.T) {
				s := newSimulation(outcomeQuery)
				t.Repeat(s.actions(&steps))
				effects += len(s.effects)
				for _, a := range s.attempts {
					results[fmt.Sprintf("%T", a.result)]++
				}
			})
			t.Logf("%d steps, %d keys executed, results %v", steps, effects, results)
			require.Greater(t, steps, 5000)
		})
	}
}

func (s *simulation) actions(steps *int) map[string]func(*rapid.T) {
	step := func(t *rapid.T) {
		if p := s.pending(); len(p) > 0 {
			s.step(t, rapid.SampledFrom(p).Draw(t, "attempt"))
		}
	}
	return map[string]func(*rapid.T){
		"submit": func(t *rapid.T) {
			s.submit(rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), "body")
		},
		"step":       step,
		"step-again": step,
		"step-once-more": func(t *rapid.T) {
			step(t)
			step(t)
		},
		"late-write-lands": func(t *rapid.T) {
			if len(s.delayed) > 0 {
				i := rapid.IntRange(0, len(s.delayed)-1).Draw(t, "late")
				s.put(s.delayed[i].claim, s.delayed[i].revision)
				s.delayed = append(s.delayed[:i:i], s.delayed[i+1:]...)
			}
		},
		"amend": func(t *rapid.T) {
			if len(s.updates) > 0 {
				i := rapid.IntRange(0, len(s.updates)-1).Draw(t, "amendment")
				if s.update(t, s.updates[i]) {
					s.updates = append(s.updates[:i:i], s.updates[i+1:]...)
				}
			}
		},
		"forget": func(t *rapid.T) {
			if len(s.updates) > 0 && rapid.IntRange(0, 3).Draw(t, "forget") == 0 {
				s.updates = s.updates[1:]
			}
		},
		"freeze": func(t *rapid.T) {
			s.clock.Jump(time.Duration(rapid.IntRange(0, 2500).Draw(t, "ms")) * time.Millisecond)
		},
		"kill": func(t *rapid.T) {
			if p := s.pending(); len(p) > 0 {
				rapid.SampledFrom(p).Draw(t, "attempt").killed = true
			}
		},
		"": func(t *rapid.T) {
			*steps++
			s.check(t)
		},
	}
}
