package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The size of the run in CI; longer ones are made by hand.
const (
	testSeed = 1
	testTime = 6 * time.Second
)

// TestShortSoak plays one seed with the real router and checks every promise.
func TestShortSoak(t *testing.T) {
	dir := t.TempDir()
	report, err := Run(build(t, dir, "router"), dir, Size{Routers: 3, Targets: 2, Callers: 2}, testSeed, testTime)
	require.NoError(t, err)
	require.Empty(t, report.Violations, report.Events)
	require.NotZero(t, report.Served)
}

// TestPromise: each broken promise is seen for what it is.
func TestPromise(t *testing.T) {
	const id = "c-1"
	tests := map[string]struct {
		call   Call
		runs   int
		broken string
	}{
		"whole":                      {Call{ID: id, Path: "/once/x", Status: 200, Seal: "t." + id, Body: "done " + id}, 1, ""},
		"run twice":                  {Call{ID: id, Path: "/once/x", Status: 200, Seal: "t." + id, Body: "done " + id}, 2, "more than once"},
		"safe may run twice":         {Call{ID: id, Path: "/safe/x", Status: 200, Seal: "t." + id, Body: "done " + id}, 2, ""},
		"safe may not run thrice":    {Call{ID: id, Path: "/safe/x", Status: 200, Seal: "t." + id, Body: "done " + id}, 3, "attempts"},
		"refused and run":            {Call{ID: id, Path: "/once/x", Status: 503}, 1, "refused, but run"},
		"refused":                    {Call{ID: id, Path: "/once/x", Status: 503}, 0, ""},
		"another's answer":           {Call{ID: id, Path: "/once/x", Status: 200, Seal: "t.c-2", Body: "done c-2"}, 1, "without its seal"},
		"half a body":                {Call{ID: id, Path: "/once/x", Status: 200, Seal: "t." + id, Body: "do"}, 1, "not whole"},
		"half a body that broke off": {Call{ID: id, Path: "/once/x", Status: 200, Seal: "t." + id, Body: "do", Err: errBroken}, 1, ""},
		"stream with a hole":         {Call{ID: id, Path: "/stream/x", Status: 200, Seal: "t." + id, Body: "id: 1\n\n"}, 1, "not whole"},
		"own failure with a seal":    {Call{ID: id, Path: "/once/x", Status: 502, Seal: "t." + id}, 1, "with a seal"},
		"proper request is unknown":  {Call{ID: id, Path: "/once/x", Status: 404}, 0, "not an answer"},
		"no answer":                  {Call{ID: id, Path: "/once/x", Err: errBroken}, 1, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := promise(tt.call, tt.runs)
			if tt.broken == "" {
				require.Empty(t, got)
				return
			}
			require.Contains(t, got, tt.broken)
		})
	}
}

var errBroken = &brokenError{}

type brokenError struct{}

func (*brokenError) Error() string { return "broken off" }
