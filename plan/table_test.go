package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMatch(t *testing.T) {
	table := New(3, WithRoutes(
		NewRoute("short", "a.example", "/x/", Idempotent, []WeightedService{NewWeightedService("s", 1)}),
		NewRoute("long", "a.example", "/x/y/", Idempotent, []WeightedService{NewWeightedService("s", 1)}),
		NewRoute("other", "B.example", "/", Idempotent, []WeightedService{NewWeightedService("s", 1)}),
	))
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":           {"a.example", "/x/y/z", "long"},
		"shorter prefix":           {"a.example", "/x/z", "short"},
		"prefix without its slash": {"a.example", "/x", ""},
		"prefix not at the start":  {"a.example", "/y/x/", ""},
		"host is case-insensitive": {"b.EXAMPLE", "/q", "other"},
		"unknown host":             {"c.example", "/x/", ""},
		"path is not normalized":   {"a.example", "/x/../x/y/", "short"},
		"prefix alone":             {"a.example", "/x/y/", "long"},
		"empty path on other":      {"b.example", "/", "other"},
		"path is case-sensitive":   {"a.example", "/X/y/", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, ok := table.Match(tt.host, tt.path)
			require.Equal(t, tt.want != "", ok)
			if ok {
				require.Equal(t, tt.want, r.Name())
			}
		})
	}
}

// TestPick checks that the services receive requests in exact proportion to
// their weights.
func TestPick(t *testing.T) {
	r := NewRoute("r", "h", "/", Idempotent, []WeightedService{NewWeightedService("a", 3), NewWeightedService("none", 0), NewWeightedService("b", 1)})
	count := map[string]int{}
	for i := range uint64(400) {
		count[r.Pick(i)]++
	}
	require.Equal(t, map[string]int{"a": 300, "b": 100}, count)
	empty := NewRoute("r", "h", "/", Idempotent, nil)
	require.Empty(t, empty.Pick(7))
	weightless := NewRoute("r", "h", "/", Idempotent, []WeightedService{NewWeightedService("a", 0)})
	require.Equal(t, "a", weightless.Pick(7))
}

func TestRetryable(t *testing.T) {
	tests := map[string]struct {
		kind      Kind
		resumable bool
		want      bool
	}{
		"idempotent":                    {Idempotent, false, true},
		"non-idempotent":                {NonIdempotent, false, false},
		"non-idempotent, resumable set": {NonIdempotent, true, false},
		"stream":                        {Streaming, false, false},
		"resumable stream":              {Streaming, true, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRoute("r", "h", "/", tt.kind, nil, WithResumable(tt.resumable), WithTimes(time.Second, 0))
			require.Equal(t, tt.want, r.Retryable())
		})
	}
}

func TestWorkspaces(t *testing.T) {
	table := New(1, WithWorkspaces(NewWorkspace("a", []string{"k1", "k2"}).WithPriority(0), NewWorkspace("b", []string{"k3"})))
	require.True(t, table.RequiresKey())
	require.False(t, New(1).RequiresKey())
	w, ok := table.WorkspaceByKey("k2")
	require.True(t, ok)
	route := NewRoute("r", "h", "/", Idempotent, nil, WithPriority(2))
	require.Equal(t, 0, w.Priority(&route), "the workspace overrides the route")
	w, ok = table.WorkspaceByKey("k3")
	require.True(t, ok)
	require.Equal(t, 2, w.Priority(&route))
	_, ok = table.WorkspaceByKey("")
	require.False(t, ok)
	require.True(t, New(1, WithWorkspaces()).RequiresKey(), "an empty list of workspaces rejects every key")
}
