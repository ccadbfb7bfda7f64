package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTableLag checks that a router tells for how long it has known of a newer routing table, also if
// versions follow each other.
func TestTableLag(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := map[string]struct {
		do     func(l *tableLag)
		behind time.Duration
		newer  uint64
	}{
		"nothing heard":       {func(*tableLag) {}, 0, 0},
		"the active one":      {func(l *tableLag) { l.hear(3, 3, at(0)) }, 0, 0},
		"a newer one":         {func(l *tableLag) { l.hear(4, 3, at(0)) }, time.Second, 4},
		"heard again":         {func(l *tableLag) { l.hear(4, 3, at(0)); l.hear(4, 3, at(500)) }, time.Second, 4},
		"activated":           {func(l *tableLag) { l.hear(4, 3, at(0)); l.activate(4, at(600)) }, 0, 0},
		"the next one before": {func(l *tableLag) { l.hear(4, 3, at(0)); l.hear(5, 3, at(200)); l.activate(4, at(600)) }, 400 * time.Millisecond, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := &tableLag{}
			tt.do(l)
			behind, newer := l.behind(at(1000))
			require.Equal(t, tt.behind, behind)
			require.Equal(t, tt.newer, newer)
		})
	}
}

// TestLateTableIsLogged checks that an operator sees which router knows of a newer routing table
// without having it.
func TestLateTableIsLogged(t *testing.T) {
	tr := newTestRouter(t)
	tr.waitReady(0)
	tr.g.tableLag.hear(7, 1, tr.g.clock.Now().Add(-2*maxTableLag))
	late := func() bool {
		return strings.Contains(tr.logs.String(), "a newer routing table is known but not in force")
	}
	require.Eventually(t, late, waitTimeout, pollInterval)
}
