package share

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

const testService = Key(1)

// TestLevel guards against users who ask for little being held to less than they ask for, and
// against room that is left over.
func TestLevel(t *testing.T) {
	tests := map[string]struct {
		room    float64
		demands []demand
		want    float64
	}{
		"room for all":                {10, []demand{{1, 1}, {4, 1}}, 4},
		"equal demands":               {6, []demand{{4, 1}, {4, 1}, {4, 1}}, 2},
		"small ones are not held":     {10, []demand{{1, 1}, {2, 1}, {20, 1}, {30, 1}}, 3.5},
		"by weight":                   {6, []demand{{10, 1}, {10, 2}}, 2},
		"nobody asks":                 {6, nil, 0},
		"no room":                     {0, []demand{{1, 1}}, 0},
		"exactly as much as is asked": {3, []demand{{1, 1}, {2, 1}}, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.InDelta(t, tt.want, level(tt.room, tt.demands), 1e-9) })
	}
}

// TestOveruse guards against a workspace being held for what it used long ago, and against usage at
// other routers and of other services being mixed up.
func TestOveruse(t *testing.T) {
	table := NewTable()
	require.Zero(t, table.Overuse(2, testService, start), "nothing known")
	for w := range Key(4) {
		table.RecordFromPeer("p", []Usage{NewUsage(9, testService, 0), NewUsage(9, testService, math.Inf(1))}, start)
		table.Record(2+w, testService, 3, start)
	}
	now := start.Add(2 * levelAge)
	even := table.Overuse(2, testService, now)
	require.InDelta(t, 2, even, 0.01, "all use the same")
	require.Zero(t, table.Overuse(2, testService+1, now), "another service")
	table.RecordFromPeer("p", []Usage{NewUsage(2, testService, 6)}, now)
	now = now.Add(2 * levelAge)
	require.InDelta(t, 3.4, table.Overuse(2, testService, now), 0.2, "most is used through a peer")
	require.Less(t, table.Overuse(3, testService, now), even)
	now = now.Add(2 * maxReportAge)
	require.Zero(t, table.Overuse(2, testService, now), "long ago")
	require.Empty(t, table.peers)
}

// TestOwnIsBounded guards against datagrams and memory that grow with the number of workspaces.
func TestOwnIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 2 * maxOwn {
		table.Record(KeyOf(strconv.Itoa(i)), testService, float64(1+i%100), start)
	}
	require.LessOrEqual(t, len(table.own), maxOwn)
	own := table.Own(start)
	require.Len(t, own, MaxReported)
	for _, u := range own {
		require.InDelta(t, 100/timeConstant.Seconds(), u.Cost(), 1e-9, "the largest users")
	}
	for i := range 2 * maxPeers {
		table.RecordFromPeer(strconv.Itoa(i), own, start)
	}
	require.Len(t, table.peers, maxPeers)
	require.Empty(t, NewTable().Own(start))
	table.Own(start.Add(time.Minute))
	require.Empty(t, table.own, "decayed users are forgotten")
}
