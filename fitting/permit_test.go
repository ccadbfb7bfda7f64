package fitting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/crew"
)

// TestChooseAmongLimited checks where requests go when targets name limits: those whose
// prompt is cached may wait there for a permit, others go elsewhere; what no target can
// take in time is rejected with the time until the first permit.
func TestChooseAmongLimited(t *testing.T) {
	const prefill = 10000 / prefillRate * time.Millisecond
	const slotWait = time.Second / 2
	free := func(requests int) Candidate { return engine("free", requests, 0) }
	limited := func(id string, cached bool, permitIn time.Duration) Candidate {
		c := engine(id, 0, 0)
		c.Limited, c.Cached, c.PermitIn = true, cached, permitIn
		return c
	}
	suspect := free(0)
	suspect.Suspect = true
	long := NewWork("m", []Part{NewPart(1, 10000), NewPart(2, 10)}, 10010, 10)
	tests := map[string]struct {
		work Work
		all  []Candidate
		want Decision
	}{
		"cached there":                    {long, []Candidate{limited("a", true, 0), free(0)}, Chosen{Index: 0, Source: NoSource, MaxWait: prefill}},
		"cached there, no permit now":     {long, []Candidate{limited("a", true, time.Millisecond), free(0)}, Chosen{Index: 1, Source: 0}},
		"cached nowhere":                  {long, []Candidate{limited("a", false, 0), limited("b", false, 0), free(3)}, Chosen{Index: 2, Source: NoSource}},
		"the others are busier":           {long, []Candidate{limited("a", false, 0), free(40)}, Chosen{Index: 0, Source: NoSource}},
		"no other target":                 {long, []Candidate{limited("a", false, 0)}, Chosen{Index: 0, Source: NoSource, MaxWait: slotWait}},
		"the first permit is worth it":    {long, []Candidate{limited("a", false, time.Second/4), limited("b", false, time.Second/5)}, Chosen{Index: 1, Source: NoSource, MaxWait: slotWait}},
		"no permit in time":               {long, []Candidate{limited("a", false, 2*time.Second), limited("b", true, time.Second)}, Paused{RetryAfter: time.Second}},
		"no permit in time, one suspect":  {long, []Candidate{limited("a", true, time.Second), suspect}, Chosen{Index: 1, Source: 0}},
		"a permit in time, one suspect":   {long, []Candidate{limited("a", false, time.Second/4), suspect}, Chosen{Index: 0, Source: NoSource, MaxWait: slotWait}},
		"plain service":                   {Work{}, []Candidate{limited("a", false, 0), free(0)}, Chosen{Index: 1, Source: NoSource}},
		"plain service, only one of them": {Work{}, []Candidate{limited("a", false, 0)}, Chosen{Index: 0, Source: NoSource, MaxWait: slotWait}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := Request{Work: tt.work, Slots: 64, CopyRate: 1200, TimeLeft: 10 * time.Second, Objective: time.Second}
			got := Choose(q, tt.all)
			want, rejected := tt.want.(Paused)
			if !rejected {
				require.Equal(t, tt.want, got)
				return
			}
			require.GreaterOrEqual(t, got.(Paused).RetryAfter, want.RetryAfter)
			require.LessOrEqual(t, got.(Paused).RetryAfter, want.RetryAfter*5/4)
		})
	}
}

// TestLessUrgentRequestsWaitLess checks that a request with a lower priority doesn't take
// the permits for which a more urgent one may wait.
func TestLessUrgentRequestsWaitLess(t *testing.T) {
	c := Candidate{Target: crew.NewTarget("a", "s", "10.0.0.1:1", crew.WithSlots(6)), Limited: true, PermitIn: time.Second / 4}
	q := Request{Slots: 6, TimeLeft: 10 * time.Second, Objective: time.Second}
	require.IsType(t, Chosen{}, Choose(q, []Candidate{c}))
	q.Priority = 2
	require.IsType(t, Paused{}, Choose(q, []Candidate{c}))
}

// TestChooseAmongCold guards against cold engines being sent the requests that cost most there, while
// others are left, and against callers that return long before any target is warm.
func TestChooseAmongCold(t *testing.T) {
	const coldFor = 20 * time.Second
	cold := func(id string, permitIn time.Duration) Candidate {
		c := engine(id, 0, 0)
		c.Limited, c.ColdFor, c.PermitIn = true, coldFor, permitIn
		return c
	}
	busy, busier := engine("warm", 30, 0), engine("warm", 45, 0)
	paused := engine("paused", 0, 0)
	paused.PausedFor = 2 * time.Second
	prompt := func(tokens int) Work { return NewWork("m", nil, tokens, 10) }
	shared := func(tokens int) Work { return NewWork("m", []Part{NewPart(1, tokens), NewPart(2, 10)}, tokens+10, 10) }
	tests := map[string]struct {
		work Work
		all  []Candidate
		// want is the index, or -1 for a rejection with the time.
		want  int
		after time.Duration
	}{
		"a short prompt, warm ones are busy":   {prompt(100), []Candidate{cold("a", 0), busy}, 0, 0},
		"a long prompt":                        {prompt(20000), []Candidate{cold("a", 0), busy}, 1, 0},
		"a prompt that is cached elsewhere":    {shared(3000), []Candidate{cold("a", 0), cached(engine("warm", 4, 0))}, 1, 0},
		"a short one that is cached nowhere":   {shared(100), []Candidate{cold("a", 0), busier}, 0, 0},
		"a warm one is idle":                   {prompt(100), []Candidate{cold("a", 0), engine("warm", 0, 0)}, 1, 0},
		"only cold ones, a permit":             {prompt(100), []Candidate{cold("a", time.Second), cold("b", 0)}, 1, 0},
		"only cold ones, a permit in time":     {prompt(100), []Candidate{cold("a", time.Second), cold("b", time.Second/4)}, 1, 0},
		"only cold ones, none in time":         {prompt(100), []Candidate{cold("a", time.Second), cold("b", 2*time.Second)}, -1, coldFor},
		"none in time, and one that is paused": {prompt(100), []Candidate{cold("a", time.Second), paused}, -1, 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for random := range uint64(20) {
				q := Request{Work: tt.work, Slots: 64, TimeLeft: 10 * time.Second, Objective: time.Second, Random: random}
				got := Choose(q, tt.all)
				if tt.want >= 0 {
					require.Equal(t, tt.want, got.(Chosen).Index)
					continue
				}
				require.GreaterOrEqual(t, got.(Paused).RetryAfter, tt.after)
				require.LessOrEqual(t, got.(Paused).RetryAfter, tt.after*5/4)
			}
		})
	}
}
