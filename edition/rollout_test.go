package edition

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRollout checks at which versions streams may begin.
func TestRollout(t *testing.T) {
	const service = "models"
	of := func(versions ...string) map[string][]string { return map[string][]string{service: versions} }
	tests := map[string]struct {
		then   func(r *Rollout)
		at     time.Duration
		begins map[string]bool
	}{
		"the first ones":            {func(*Rollout) {}, 0, map[string]bool{"v1": true, "v2": true}},
		"a new one":                 {func(r *Rollout) { r.Observe(of("v1", "v2", "v3"), start) }, 0, map[string]bool{"v1": true, "v3": false}},
		"a new one, for long":       {func(r *Rollout) { r.Observe(of("v3"), start) }, maxRolloutWait, map[string]bool{"v3": true}},
		"a new one of no name":      {func(r *Rollout) { r.Observe(of(""), start) }, 0, map[string]bool{"": false}},
		"one that was never seen":   {func(*Rollout) {}, 0, map[string]bool{"v9": true}},
		"the store has others":      {func(r *Rollout) { r.Observe(of("v3"), start); r.Confirm(stored("v1", "v2")) }, 0, map[string]bool{"v3": false}},
		"the store has nothing":     {func(r *Rollout) { r.Observe(of("v3"), start); r.Confirm(nil) }, 0, map[string]bool{"v3": false}},
		"the store has it":          {func(r *Rollout) { r.Observe(of("v3"), start); r.Confirm(stored("v1", "v2", "v3")) }, 0, map[string]bool{"v3": true}},
		"the store has an unknown":  {func(r *Rollout) { r.Observe(of("v3"), start); r.Confirm(stored("")) }, 0, map[string]bool{"v3": true}},
		"the store had it, seen on": {func(r *Rollout) { r.Observe(of("v3"), start); r.Confirm(stored("v3")); r.Confirm(stored("v1")) }, 0, map[string]bool{"v3": true}},
		"one that is back after long": {func(r *Rollout) {
			r.Observe(of("v1"), start.Add(rolloutMemory+1))
			r.Observe(of("v2"), start.Add(rolloutMemory+1))
		}, rolloutMemory + 1, map[string]bool{"v2": false}},
		"all are back after long": {func(r *Rollout) { r.Observe(of("v2"), start.Add(rolloutMemory+1)) }, rolloutMemory + 1, map[string]bool{"v2": true}},
		"another service":         {func(r *Rollout) { r.Observe(map[string][]string{"other": {"v3"}}, start) }, 0, map[string]bool{"v3": true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRollout()
			require.False(t, r.Observe(of("v1", "v2"), start))
			tt.then(r)
			waits := false
			for v, begins := range tt.begins {
				require.Equal(t, begins, r.MayBegin(service, v, start.Add(tt.at)), v)
				waits = waits || !begins
			}
			require.Equal(t, waits, r.Waiting(start.Add(tt.at)))
		})
	}
}

func stored(versions ...string) map[string]Stored {
	return map[string]Stored{"models": {Versions: versions, Revision: 1}}
}
