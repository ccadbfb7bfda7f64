package plan

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMatch(t *testing.T) {
	p := New(3, WithRoutes(
		NewRoute("short", "a.example", "/x/", Idempotent, []WeightedService{NewWeightedService("s", 1)}),
		NewRoute("long", "a.example", "/x/y/", Idempotent, []WeightedService{NewWeightedService("s", 1)}),
		NewRoute("other", "B.example", "/", Idempotent, []WeightedService{NewWeightedService("s", 1)}),
	))
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":          {"a.example", "/x/y/z", "long"},
		"shorter one":             {"a.example", "/x/z", "short"},
		"prefix ends in a slash":  {"a.example", "/x", ""},
		"not inside":              {"a.example", "/y/x/", ""},
		"host in any case":        {"b.EXAMPLE", "/q", "other"},
		"unknown host":            {"c.example", "/x/", ""},
		"path is not normalized":  {"a.example", "/x/../x/y/", "short"},
		"prefix alone":            {"a.example", "/x/y/", "long"},
		"empty path on other":     {"b.example", "/", "other"},
		"case counts in the path": {"a.example", "/X/y/", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, ok := p.Match(tt.host, tt.path)
			require.Equal(t, tt.want != "", ok)
			if ok {
				require.Equal(t, tt.want, r.Name())
			}
		})
	}
}

// TestPick: shares follow the weights exactly over all remainders.
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

func TestRepeatable(t *testing.T) {
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
	p := New(1, WithWorkspaces(NewWorkspace("a", []string{"k1", "k2"}).WithPriority(0), NewWorkspace("b", []string{"k3"})))
	require.True(t, p.RequiresKey())
	require.False(t, New(1).RequiresKey())
	w, ok := p.WorkspaceByKey("k2")
	require.True(t, ok)
	route := NewRoute("r", "h", "/", Idempotent, nil, WithPriority(2))
	require.Equal(t, 0, w.Priority(&route), "the workspace goes before the route")
	w, ok = p.WorkspaceByKey("k3")
	require.True(t, ok)
	require.Equal(t, 2, w.Priority(&route))
	_, ok = p.WorkspaceByKey("")
	require.False(t, ok)
	require.True(t, New(1, WithWorkspaces()).RequiresKey(), "no workspaces at all let nobody in")
}
