package fleet

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// build builds a program of the workspace.
func build(t *testing.T, dir, name string) string {
	t.Helper()
	bin := filepath.Join(dir, name)
	out, err := exec.Command("go", "build", "-o", bin, "vanillalug.example/cmd/"+name).CombinedOutput()
	require.NoError(t, err, string(out))
	return bin
}

// TestExplainFailures runs the real router, makes three kinds of request fail
// and finds the cause of each from its id and the log alone, by the command of
// docs/OPERATIONS.md.
func TestExplainFailures(t *testing.T) {
	dir := t.TempDir()
	router, command := build(t, dir, "router"), build(t, dir, "vanillalug")
	tests := map[string]struct {
		path   string
		does   platformtest.Behaviour
		status int
		says   []string
	}{
		"refused under load": {
			"/once/x", platformtest.Shed, http.StatusServiceUnavailable,
			[]string{"status 503", "target is full", "no target has run it", "outcome=not run"},
		},
		"stream cut": {
			"/broken/x", platformtest.Truncate, http.StatusOK,
			[]string{"broken off: stream broke off", "last-event=2", "a target may have run it"},
		},
		"unknown outcome": {
			"/once/x", platformtest.ResetAfter, http.StatusBadGateway,
			[]string{"status 502", "target gave no answer", "a target may have run it", "outcome=no answer", "booking-"},
		},
	}
	s, err := NewHarness(router, dir, Size{Routers: 1, Targets: 2})
	t.Cleanup(s.Stop)
	require.NoError(t, err)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, target := range s.all {
				target.SetDefault(tt.does)
			}
			id := "id-" + string(tt.does)
			status, err := SendDirect(s.Routers[0], tt.path, id)
			require.Equal(t, tt.status, status)
			require.Equal(t, tt.does == platformtest.Truncate, err != nil)
			require.Eventually(t, func() bool {
				out, err := exec.Command(command, "explain", id, s.Routers[0].LogFile()).CombinedOutput()
				if err != nil {
					return false
				}
				for _, want := range tt.says {
					require.Contains(t, string(out), want)
				}
				return true
			}, readyTime, readyTick)
		})
	}
}
