package channel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleTimeoutEstimate(t *testing.T) {
	const idle = 400 * time.Millisecond
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	var e IdleTimeoutEstimate
	_, known := e.At(start)
	require.False(t, known)

	require.True(t, e.ObserveDrop(idle, start))
	limit, known := e.At(start)
	require.True(t, known)
	require.Equal(t, idle/2, limit)

	require.False(t, e.ObserveDrop(2*idle, start), "a longer idle time does not change the limit")
	limit, _ = e.At(start)
	require.Equal(t, idle/2, limit)
	require.True(t, e.ObserveDrop(idle/2, start))
	limit, _ = e.At(start)
	require.Equal(t, idle/4, limit)

	_, known = e.At(start.Add(estimateTTL))
	require.False(t, known)
	require.True(t, e.ObserveDrop(4*idle, start.Add(estimateTTL)), "an expired estimate is ignored")
}
