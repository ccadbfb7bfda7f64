package fleet

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// build builds a command of this repository and returns the path of the binary.
func build(t *testing.T, dir, name string) string {
	t.Helper()
	bin := filepath.Join(dir, name)
	out, err := exec.Command("go", "build", "-o", bin, "vanillalug.example/cmd/"+name).CombinedOutput()
	require.NoError(t, err, string(out))
	return bin
}

// TestExplainFailures makes three kinds of requests fail at the real router. It
// checks that "vanillalug explain", as described in docs/OPERATIONS.md, shows the
// cause of each from the request id and the log alone.
func TestExplainFailures(t *testing.T) {
	dir := t.TempDir()
	router, command := build(t, dir, "router"), build(t, dir, "vanillalug")
	tests := map[string]struct {
		path      string
		behaviour platformtest.Behaviour
		status    int
		contains  []string
	}{
		"rejected under load": {
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
	h, err := NewHarness(router, dir, Size{Routers: 1, Targets: 2})
	t.Cleanup(h.Stop)
	require.NoError(t, err)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, target := range h.all {
				target.SetDefault(tt.behaviour)
			}
			id := "id-" + string(tt.behaviour)
			status, err := SendDirect(h.Routers[0], tt.path, id)
			require.Equal(t, tt.status, status)
			require.Equal(t, tt.behaviour == platformtest.Truncate, err != nil)
			require.Eventually(t, func() bool {
				out, err := exec.Command(command, "explain", id, h.Routers[0].LogFile()).CombinedOutput()
				if err != nil {
					return false
				}
				for _, want := range tt.contains {
					require.Contains(t, string(out), want)
				}
				return true
			}, readyTimeout, pollInterval)
		})
	}
}
