package fleet

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRouterUsesTooMuch guards against a check that overlooks a router past the memory or the
// descriptors of its VM, or reads the usage of no process at all.
func TestRouterUsesTooMuch(t *testing.T) {
	h := &Harness{Routers: []*Router{{Name: "r0"}, {Name: "r1"}}}
	tests := map[string]struct {
		used usage
		want string
	}{
		"as much as there is":  {usage{memory: memoryBound, descriptors: descriptorBound}, ""},
		"too much memory":      {usage{memory: memoryBound + 1}, "resident"},
		"too many descriptors": {usage{descriptors: descriptorBound + 1}, "descriptors"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := h.checkUsage([]usage{{}, tt.used})
			if tt.want == "" {
				require.Empty(t, got)
				return
			}
			require.Len(t, got, 1)
			require.Contains(t, got[0], "r1")
			require.Contains(t, got[0], tt.want)
		})
	}

	cmd := exec.Command("cat")
	in, err := cmd.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	u := usage{}.orMore(cmd.Process.Pid)
	require.NotZero(t, u.memory)
	require.GreaterOrEqual(t, u.descriptors, 3)
	require.Equal(t, usage{memory: memoryBound, descriptors: descriptorBound},
		usage{memory: memoryBound, descriptors: descriptorBound}.orMore(cmd.Process.Pid), "the highest counts")
	require.NoError(t, in.Close())
	require.NoError(t, cmd.Wait())
	require.Equal(t, u, u.orMore(cmd.Process.Pid), "a process that has ended")
}

// TestRouterEndsByItself guards against a check that overlooks a process that ends without a signal to
// stop, as one that runs out of memory or panics.
func TestRouterEndsByItself(t *testing.T) {
	r := &Router{exits: 2, requestedExits: 2}
	require.Zero(t, r.UnexpectedExits())
	r.exits++
	require.Equal(t, 1, r.UnexpectedExits())
}

// TestNoAnswerBesideCrowd guards against a check that takes a router for serving that doesn't.
func TestNoAnswerBesideCrowd(t *testing.T) {
	h := &Harness{}
	got := h.awaitAnswer(&Router{Name: "r0", entry: "127.0.0.1:1"}, 2*pollInterval)
	require.Len(t, got, 1)
	require.True(t, strings.HasPrefix(got[0], "r0 answered no request"))
}
