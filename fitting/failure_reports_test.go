package fitting

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestFailureReports checks that a target is excluded when enough routers report
// recent failures, but never more than half of a service.
func TestFailureReports(t *testing.T) {
	const few, many = 1, 40
	keys := []Key{1, 2, 3, 4}
	report := func(r *FailureReports, peers int, failing ...Key) {
		for i := range peers {
			r.RecordFromPeer("r"+strconv.Itoa(i), failing, start)
		}
	}
	tests := map[string]struct {
		report func(*FailureReports)
		sends  float64
		after  time.Duration
		want   []bool
	}{
		"no failure":                {func(*FailureReports) {}, few, 0, []bool{false, false, false, false}},
		"too few reporters":         {func(r *FailureReports) { report(r, minReporters-1, 1) }, few, 0, []bool{false, false, false, false}},
		"enough reporters":          {func(r *FailureReports) { report(r, minReporters, 1) }, few, 0, []bool{true, false, false, false}},
		"this router is a reporter": {func(r *FailureReports) { report(r, minReporters-1, 1); r.RecordFailure(1, start) }, few, 0, []bool{true, false, false, false}},
		"this router succeeded":     {func(r *FailureReports) { report(r, minReporters-1, 1); r.RecordFailure(1, start); r.RecordSuccess(1) }, few, 0, []bool{false, false, false, false}},
		"small share of the sends":  {func(r *FailureReports) { report(r, minReporters, 1) }, many, 0, []bool{false, false, false, false}},
		"a quarter of the sends":    {func(r *FailureReports) { report(r, many/4, 1) }, many, 0, []bool{true, false, false, false}},
		"half of the service":       {func(r *FailureReports) { report(r, minReporters, 1, 4) }, few, 0, []bool{true, false, false, true}},
		"more than half":            {func(r *FailureReports) { report(r, minReporters, 1, 2, 3) }, few, 0, []bool{false, false, false, false}},
		"reports expired":           {func(r *FailureReports) { report(r, minReporters, 1) }, few, ReportTTL, []bool{false, false, false, false}},
		"same router repeatedly":    {func(r *FailureReports) { report(r, 1, 1); report(r, 1, 1); report(r, 1, 1) }, few, 0, []bool{false, false, false, false}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewFailureReports()
			tt.report(r)
			require.Equal(t, tt.want, r.Failing(keys, tt.sends, start.Add(tt.after)))
		})
	}
}

func TestOwnFailureReports(t *testing.T) {
	r := NewFailureReports()
	r.RecordFailure(1, start)
	r.RecordFailure(2, start)
	r.RecordSuccess(2)
	r.RecordFromPeer("peer", []Key{3}, start)
	require.Equal(t, []Key{1}, r.Own(start), "reports of peers are not passed on")
	require.Empty(t, r.Own(start.Add(ownReportTTL)))
}
