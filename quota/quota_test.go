package quota

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// TestTableKeepsLatest checks which statement about a limit counts.
func TestTableKeepsLatest(t *testing.T) {
	const target = TargetKey(1)
	named, later := NewLimit(2), NewLimit(3)
	tests := map[string]struct {
		own     Limit
		reports []Report
		want    Limit
	}{
		"named to this router":         {named, nil, named},
		"a peer's is older":            {named, []Report{{target, later, 2 * time.Second}}, named},
		"a peer's is newer":            {named, []Report{{target, later, 500 * time.Millisecond}}, later},
		"a peer was told of none":      {named, []Report{{target, Limit{}, 500 * time.Millisecond}}, Limit{}},
		"a peer was told before":       {named, []Report{{target, Limit{}, 3 * time.Second}}, named},
		"only a peer was told":         {Limit{}, []Report{{target, later, time.Second}}, later},
		"another target":               {named, []Report{{2, later, 0}}, named},
		"not a number":                 {named, []Report{{target, NewLimit(math.NaN()), 0}}, named},
		"infinite":                     {named, []Report{{target, NewLimit(math.Inf(1)), 0}}, named},
		"negative":                     {named, []Report{{target, NewLimit(-1), 0}}, named},
		"from the future":              {named, []Report{{target, later, -time.Second}}, named},
		"none, which nobody had named": {Limit{}, []Report{{target, Limit{}, 0}}, Limit{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			table.Observe(target, tt.own, start)
			table.RecordFromPeer(tt.reports, start.Add(time.Second))
			require.Equal(t, tt.want, table.Limit(target))
		})
	}
}

// TestTableReports checks that peers are told only what targets stated to this router
// lately, the newest first and not without end, and that targets are forgotten.
func TestTableReports(t *testing.T) {
	table := NewTable()
	for i := range TargetKey(2 * MaxReports) {
		table.Observe(i, NewLimit(1), start.Add(time.Duration(i)*time.Millisecond))
	}
	table.RecordFromPeer([]Report{{Target: 1000, Limit: NewLimit(1)}}, start.Add(time.Second))
	now := start.Add(2 * time.Second)
	reports := table.OwnReports(2*time.Second, now)
	require.Len(t, reports, MaxReports)
	require.Equal(t, TargetKey(2*MaxReports-1), reports[0].Target)
	require.Empty(t, table.OwnReports(time.Second, now))
	require.Equal(t, Report{Target: 1000, Limit: NewLimit(1), Age: time.Second}, table.Report(1000, now))
	table.Retain(func(k TargetKey) bool { return k == 3 })
	require.True(t, table.Limit(3).Limited())
	require.False(t, table.Limit(1000).Limited())
}

// TestIssuer checks how permits are issued over time: as many as the limit, a few at once
// after a pause, none at the beginning, and with waiting as long as the router allows.
func TestIssuer(t *testing.T) {
	type call struct {
		at      time.Duration
		limit   Limit
		maxWait time.Duration
		want    Permit
	}
	yes := func(wait time.Duration) Permit { return Permit{Granted: true, Wait: wait} }
	no := func(wait time.Duration) Permit { return Permit{Wait: wait} }
	two, zero := NewLimit(2), NewLimit(0)
	tests := map[string][]call{
		"no limit": {{0, Limit{}, 0, yes(0)}, {0, Limit{}, 0, yes(0)}},
		"none at first, then at the rate of the limit": {
			{0, two, 0, no(500 * time.Millisecond)},
			{500 * time.Millisecond, two, 0, yes(0)},
			{900 * time.Millisecond, two, 0, no(100 * time.Millisecond)},
			{time.Second, two, 0, yes(0)},
		},
		"a pause leaves two permits": {
			{0, two, 0, no(500 * time.Millisecond)},
			{20 * time.Second, two, 0, yes(0)},
			{20 * time.Second, two, 0, yes(0)},
			{20 * time.Second, two, 0, no(500 * time.Millisecond)},
		},
		"those who wait are served in turn": {
			{0, two, time.Second, yes(500 * time.Millisecond)},
			{0, two, time.Second, yes(time.Second)},
			{0, two, time.Second, no(1500 * time.Millisecond)},
			{500 * time.Millisecond, two, time.Second, yes(time.Second)},
		},
		"a limit that falls": {
			{0, two, 0, no(500 * time.Millisecond)},
			{500 * time.Millisecond, two, 0, yes(0)},
			{500 * time.Millisecond, NewLimit(0.5), 0, no(2 * time.Second)},
		},
		"a limit of nothing lets one request find out": {
			{0, zero, 0, no(10 * time.Second)},
			{10 * time.Second, zero, 0, yes(0)},
			{11 * time.Second, zero, 0, no(9 * time.Second)},
		},
		"nobody asked for long": {
			{0, two, 0, no(500 * time.Millisecond)},
			{idleTime + time.Second, two, 0, no(500 * time.Millisecond)},
		},
	}
	for name, calls := range tests {
		t.Run(name, func(t *testing.T) {
			issuer := NewIssuer()
			for _, c := range calls {
				now := start.Add(c.at)
				issuer.Expire(now)
				permit := issuer.Take(1, c.limit, c.maxWait, now)
				require.Equal(t, c.want.Granted, permit.Granted, c.at)
				require.InDelta(t, c.want.Wait, permit.Wait, float64(time.Microsecond), c.at)
			}
		})
	}
}
