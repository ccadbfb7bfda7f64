package fleet

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// arrivalsBetween returns n arrivals spread evenly from a second on, before another one.
func arrivalsBetween(n int, from, to float64) []platformtest.Arrival {
	var out []platformtest.Arrival
	for i := range n {
		out = append(out, platformtest.Arrival{ID: fmt.Sprintf("c-%d", i), At: seconds(from + (to-from)*float64(i)/float64(n))})
	}
	return out
}

// TestColdTargetGetsTooMuch guards against a check that overlooks too many requests to a cold target,
// or counts those that nobody could know to be too many.
func TestColdTargetGetsTooMuch(t *testing.T) {
	const allowed = coldRate*coldOverrun + coldTolerance
	tests := map[string]struct {
		arrivals  []platformtest.Arrival
		announced bool
		fault     [2]float64
		violation bool
	}{
		"as many as allowed":                  {arrivals: arrivalsBetween(allowed, 3, 3.9), announced: true},
		"one more":                            {arrivals: arrivalsBetween(allowed+1, 3, 3.9), announced: true, violation: true},
		"as many in every second":             {arrivals: arrivalsBetween(4*allowed, 1, 5), announced: true},
		"across whole seconds":                {arrivals: arrivalsBetween(allowed+1, 3.5, 4.4), announced: true, violation: true},
		"at once after its start":             {arrivals: arrivalsBetween(allowed+1, 0, 0.1), announced: true, violation: true},
		"after it became warm":                {arrivals: arrivalsBetween(9*allowed, 6, 9), announced: true},
		"as it became cold by itself":         {arrivals: arrivalsBetween(9*allowed, 0, 1.9)},
		"long after it became cold by itself": {arrivals: arrivalsBetween(allowed+1, 2.1, 3), violation: true},
		"as it became cold, store is silent":  {arrivals: arrivalsBetween(allowed+1, 2.1, 3), fault: [2]float64{0.5, 2}},
		"cold for long, store was silent":     {arrivals: arrivalsBetween(allowed+1, 4.1, 5), fault: [2]float64{0.5, 2}, violation: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := contact{storeFaults: trackerOf(tt.fault[0], tt.fault[1])}
			p := coldPeriod{target: &platformtest.Target{ID: "vision-3"}, from: seconds(0), until: seconds(6), announced: tt.announced}
			require.Equal(t, tt.violation, p.check(tt.arrivals, p.known(c)) != "")
		})
	}
}
