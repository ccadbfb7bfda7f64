package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/capacity"
)

// TestAge guards against an estimate that operators take for newer or older than what it is made of.
func TestAge(t *testing.T) {
	table := newTable()
	_, known := table.Age(1, start)
	require.False(t, known)
	table.Observe(1, capacity.Pause{Each: usual, Batch: 8}, start)
	table.Observe(2, capacity.Stated{Percent: 250}, start.Add(time.Second))
	for key, want := range map[capacity.TargetKey]time.Duration{1: 3 * time.Second, 2: 2 * time.Second} {
		age, known := table.Age(key, start.Add(3*time.Second))
		require.True(t, known)
		require.Equal(t, want, age)
	}
	_, known = table.Age(99, start)
	require.False(t, known, "not in use")
}
