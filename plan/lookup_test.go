package plan

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHostsOf guards against a path that is taken for one of a host that has no route for it.
func TestHostsOf(t *testing.T) {
	services := []WeightedService{NewWeightedService("s", 1)}
	table := New(3, WithRoutes(
		NewRoute("a", "A.example", "/x/", Idempotent, services),
		NewRoute("b", "b.example", "/", Idempotent, services),
		NewRoute("c", "c.example", "/y/", Idempotent, services),
	))
	require.Equal(t, []string{"a.example", "b.example"}, table.HostsOf("/x/1"))
	require.Equal(t, []string{"b.example"}, table.HostsOf("/x"))
}

// TestWorkspaceByName guards against another workspace than the one that is named.
func TestWorkspaceByName(t *testing.T) {
	table := New(3, WithWorkspaces(NewWorkspace("acme", []string{"k"}), NewWorkspace("other", nil)))
	w, ok := table.Workspace("acme")
	require.True(t, ok)
	require.Equal(t, []string{"k"}, w.Keys())
	_, ok = table.Workspace("k")
	require.False(t, ok)
}
