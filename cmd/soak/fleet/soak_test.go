package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The seed and length of the run in CI; longer runs are started by hand.
const (
	testSeed = 1
	testTime = 9 * time.Second
)

// TestShortSoak runs one seed with the real router and checks every guarantee.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	report, err := Run(build(t, dir, "router"), dir, Size{Routers: 3, Targets: 2, Callers: 2}, testSeed, testTime)
	require.NoError(t, err)
	require.Empty(t, report.Violations, report.Events)
	require.NotZero(t, report.Served)
}

// TestViolation checks that each kind of violation is detected, and that valid
// results are not reported as violations.
func TestViolation(t *testing.T) {
	const id = "c-1"
	tests := map[string]struct {
		call Call
		runs int
		want string
	}{
		"complete":                     {Call{ID: id, Path: "/once/x", Status: 200, Seal: "t." + id, Body: "done " + id}, 1, ""},
		"run twice":                    {Call{ID: id, Path: "/once/x", Status: 200, Seal: "t." + id, Body: "done " + id}, 2, "more than once"},
		"safe may run twice":           {Call{ID: id, Path: "/safe/x", Status: 200, Seal: "t." + id, Body: "done " + id}, 2, ""},
		"safe may not run three times": {Call{ID: id, Path: "/safe/x", Status: 200, Seal: "t." + id, Body: "done " + id}, 3, "attempts"},
		"rejected and run":             {Call{ID: id, Path: "/once/x", Status: 503}, 1, "refused, but run"},
		"rejected":                     {Call{ID: id, Path: "/once/x", Status: 503}, 0, ""},
		"response to another request":  {Call{ID: id, Path: "/once/x", Status: 200, Seal: "t.c-2", Body: "done c-2"}, 1, "without its seal"},
		"truncated body":               {Call{ID: id, Path: "/once/x", Status: 200, Seal: "t." + id, Body: "do"}, 1, "not whole"},
		"truncated body with an error": {Call{ID: id, Path: "/once/x", Status: 200, Seal: "t." + id, Body: "do", Err: errCut}, 1, ""},
		"stream with missing events":   {Call{ID: id, Path: "/stream/x", Status: 200, Seal: "t." + id, Body: "id: 1\n\n"}, 1, "not whole"},
		"router failure with a seal":   {Call{ID: id, Path: "/once/x", Status: 502, Seal: "t." + id}, 1, "with a seal"},
		"valid request is not found":   {Call{ID: id, Path: "/once/x", Status: 404}, 0, "not an answer"},
		"no response":                  {Call{ID: id, Path: "/once/x", Err: errCut}, 1, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := violation(tt.call, tt.runs)
			if tt.want == "" {
				require.Empty(t, got)
				return
			}
			require.Contains(t, got, tt.want)
		})
	}
}

var errCut = &cutError{}

type cutError struct{}

func (*cutError) Error() string { return "connection cut" }
