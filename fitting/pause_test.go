package fitting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

// TestPausedTargets checks that a target that wants no requests gets none, also when
// all others are suspect or were tried, and that a caller is told when the first of
// them takes requests again.
func TestPausedTargets(t *testing.T) {
	paused := func(c Candidate, d time.Duration) Candidate {
		c.PausedFor = d
		return c
	}
	suspect := engine("c", 0, 0)
	suspect.Suspect = true
	tried := engine("d", 0, 0)
	tried.Tried = true
	triedAndPaused := paused(tried, time.Millisecond)
	tests := map[string]struct {
		all  []Candidate
		want Decision
	}{
		"the idle one is paused":           {[]Candidate{paused(engine("a", 0, 0), time.Second), engine("b", 60, 0)}, Chosen{Index: 1, Source: NoSource}},
		"a pause that has ended":           {[]Candidate{paused(engine("a", 0, 0), 0), engine("b", 60, 0)}, Chosen{Index: 0, Source: NoSource}},
		"the others are suspect":           {[]Candidate{paused(engine("a", 0, 0), time.Second), suspect}, Chosen{Index: 1, Source: NoSource}},
		"the others were tried":            {[]Candidate{paused(engine("a", 0, 0), time.Second), tried}, Paused{RetryAfter: time.Second}},
		"all are paused":                   {[]Candidate{paused(engine("a", 0, 0), 3*time.Second), paused(engine("b", 0, 0), 2*time.Second)}, Paused{RetryAfter: 2 * time.Second}},
		"the only paused one was tried":    {[]Candidate{triedAndPaused}, NoTarget{}},
		"a suspect one is paused as well":  {[]Candidate{paused(suspect, time.Second)}, Paused{RetryAfter: time.Second}},
		"no target":                        {nil, NoTarget{}},
		"the shortest one counts if tried": {[]Candidate{triedAndPaused, paused(engine("a", 0, 0), time.Second)}, Paused{RetryAfter: time.Second}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := Choose(Request{Slots: 64}, tt.all)
			want, ok := tt.want.(Paused)
			if !ok {
				require.Equal(t, tt.want, got)
				return
			}
			after := got.(Paused).RetryAfter
			require.GreaterOrEqual(t, after, want.RetryAfter)
			require.LessOrEqual(t, after, want.RetryAfter*5/4)
		})
	}
}

// TestPauseIsKept checks that no request is sent to a paused target, and that none is
// rejected while a target takes requests, whatever the loads are.
func TestPauseIsKept(t *testing.T) {
	lugtest.Check(t, "500", "1", func(t *rapid.T) {
		var all []Candidate
		open := 0
		for i := range rapid.IntRange(1, 12).Draw(t, "n") {
			c := engine(string(rune('a'+i)), rapid.IntRange(0, 40).Draw(t, "requests"), 0)
			c.Suspect = rapid.Bool().Draw(t, "suspect")
			c.Tried = rapid.Bool().Draw(t, "tried")
			c.PausedFor = time.Duration(rapid.IntRange(-5, 5).Draw(t, "paused")) * time.Second
			if !c.Tried && c.PausedFor <= 0 {
				open++
			}
			all = append(all, c)
		}
		switch d := Choose(Request{Work: long, Slots: 64}, all).(type) {
		case Chosen:
			require.LessOrEqual(t, all[d.Index].PausedFor, time.Duration(0))
			require.False(t, all[d.Index].Tried)
		default:
			require.Zero(t, open, "%T", d)
		}
	})
}
