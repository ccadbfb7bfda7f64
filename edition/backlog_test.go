package edition

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func several(string) bool { return true }

func one(string) bool { return false }

// TestBacklog checks that records are kept until they are taken, in rows of bounded size that
// are used in turn, and that their number is bounded.
func TestBacklog(t *testing.T) {
	var b Backlog
	require.Empty(t, b.Take(several, start))
	b.Add(record(1, "v1"), start)
	b.Add(record(2, "v2"), start)
	b.Add(record(3, ""), start)
	require.Equal(t, []BacklogRow{{Number: 0, Records: []Record{record(1, "v1"), record(2, "v2")}}}, b.Take(several, start))
	require.Empty(t, b.Take(several, start))

	long := strings.Repeat("v", maxNameLength)
	for i := range StreamKey(maxBacklog + 100) {
		b.Add(record(i, long), start)
	}
	rows := b.Take(several, start)
	total := 0
	for i, row := range rows {
		require.Equal(t, (i+1)%BacklogRows, row.Number)
		require.LessOrEqual(t, len(row.Records)*(recordSize+len("models")+maxNameLength), maxRowSize)
		total += len(row.Records)
	}
	require.Equal(t, maxBacklog, total)
	require.Equal(t, StreamKey(100), rows[0].Records[0].Key, "the oldest made room")
	b.Add(record(1, "v1"), start)
	require.Equal(t, (len(rows)+1)%BacklogRows, b.Take(several, start)[0].Number)
}

// TestBacklogWaitsForSeveralVersions checks that records are taken, also those from before, once
// their service has several versions, and dropped when it has had one for long.
func TestBacklogWaitsForSeveralVersions(t *testing.T) {
	var b Backlog
	b.Add(record(1, "v1"), start)
	b.Add(record(2, "v1"), start.Add(backlogTime))
	require.Empty(t, b.Take(one, start.Add(backlogTime)))
	rows := b.Take(several, start.Add(backlogTime+1))
	require.Len(t, rows, 1)
	require.Equal(t, []Record{record(2, "v1")}, rows[0].Records)
}
