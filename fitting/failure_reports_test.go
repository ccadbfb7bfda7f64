package fitting

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReports: a target is left out when enough routers have failed there
// lately, but never more than half of a service.
func TestReports(t *testing.T) {
	const few, many = 1, 40
	keys := []Key{1, 2, 3, 4}
	told := func(r *FailureReports, peers int, failing ...Key) {
		for i := range peers {
			r.RecordFromPeer("r"+strconv.Itoa(i), failing, start)
		}
	}
	tests := map[string]struct {
		told  func(*FailureReports)
		sends float64
		after time.Duration
		want  []bool
	}{
		"nobody failed":         {func(*FailureReports) {}, few, 0, []bool{false, false, false, false}},
		"too few routers":       {func(r *FailureReports) { told(r, minReporters-1, 1) }, few, 0, []bool{false, false, false, false}},
		"enough routers":        {func(r *FailureReports) { told(r, minReporters, 1) }, few, 0, []bool{true, false, false, false}},
		"this router is one":    {func(r *FailureReports) { told(r, minReporters-1, 1); r.RecordFailure(1, start) }, few, 0, []bool{true, false, false, false}},
		"this router was fine":  {func(r *FailureReports) { told(r, minReporters-1, 1); r.RecordFailure(1, start); r.RecordSuccess(1) }, few, 0, []bool{false, false, false, false}},
		"few of many sends":     {func(r *FailureReports) { told(r, minReporters, 1) }, many, 0, []bool{false, false, false, false}},
		"a quarter of them":     {func(r *FailureReports) { told(r, many/4, 1) }, many, 0, []bool{true, false, false, false}},
		"half of the service":   {func(r *FailureReports) { told(r, minReporters, 1, 4) }, few, 0, []bool{true, false, false, true}},
		"more than half":        {func(r *FailureReports) { told(r, minReporters, 1, 2, 3) }, few, 0, []bool{false, false, false, false}},
		"a while ago":           {func(r *FailureReports) { told(r, minReporters, 1) }, few, ReportTTL, []bool{false, false, false, false}},
		"the same router often": {func(r *FailureReports) { told(r, 1, 1); told(r, 1, 1); told(r, 1, 1) }, few, 0, []bool{false, false, false, false}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewFailureReports()
			tt.told(r)
			require.Equal(t, tt.want, r.Failing(keys, tt.sends, start.Add(tt.after)))
		})
	}
}

func TestReportsOfOwn(t *testing.T) {
	r := NewFailureReports()
	r.RecordFailure(1, start)
	r.RecordFailure(2, start)
	r.RecordSuccess(2)
	r.RecordFromPeer("peer", []Key{3}, start)
	require.Equal(t, []Key{1}, r.Own(start), "what peers said is not told on")
	require.Empty(t, r.Own(start.Add(toldTime)))
}
