package notice

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAccepts guards against a request that is passed on shortly before the router stops, and cut.
func TestAccepts(t *testing.T) {
	tests := map[string]struct {
		left, upper, limit time.Duration
		want               bool
	}{
		"short request, much time":         {5 * time.Second, 100 * time.Millisecond, time.Second, true},
		"short request, little time":       {50 * time.Millisecond, 100 * time.Millisecond, time.Second, false},
		"long request, much time":          {5 * time.Second, 3 * time.Second, 15 * time.Second, true},
		"long request, little time":        {2 * time.Second, 3 * time.Second, 15 * time.Second, false},
		"ends by its limit":                {2 * time.Second, 3 * time.Second, time.Second, true},
		"unknown, within its limit":        {5 * time.Second, 0, time.Second, true},
		"unknown, could take longer":       {5 * time.Second, 0, 15 * time.Second, false},
		"the router should have stopped":   {-time.Second, 100 * time.Millisecond, time.Second, false},
		"no time left for the shortest":    {0, time.Millisecond, time.Second, false},
		"exactly as long as there is time": {time.Second, time.Second, 2 * time.Second, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, Accepts(tt.left, tt.upper, tt.limit)) })
	}
}

// TestUpperCoversMostRequests checks that nearly all requests of a kind take no longer than Upper, and
// that it isn't several times the longest.
func TestUpperCoversMostRequests(t *testing.T) {
	d := NewDurations()
	require.Zero(t, d.Upper("a"))
	const longest = 150 * time.Millisecond
	beyond := 0
	for i := range 1000 {
		took := time.Duration(50+i*37%101) * time.Millisecond
		if i > 20 && took > d.Upper("a") {
			beyond++
		}
		d.Observe("a", took)
	}
	require.Less(t, beyond, 20)
	require.Less(t, d.Upper("a"), 2*longest)
	require.Zero(t, d.Upper("b"))
}

// TestKindsAreBounded checks that a table of very many routes doesn't take memory for each.
func TestKindsAreBounded(t *testing.T) {
	d := NewDurations()
	for i := range 2 * maxKinds {
		d.Observe(strconv.Itoa(i), time.Second)
	}
	require.Len(t, d.kinds, maxKinds)
}
