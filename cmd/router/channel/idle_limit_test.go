package channel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleTimeoutEstimate(t *testing.T) {
	const idle = 400 * time.Millisecond
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	var l IdleTimeoutEstimate
	_, known := l.At(start)
	require.False(t, known)

	require.True(t, l.ObserveDrop(idle, start))
	limit, known := l.At(start)
	require.True(t, known)
	require.Equal(t, idle/2, limit)

	require.False(t, l.ObserveDrop(2*idle, start), "a longer time teaches nothing new")
	limit, _ = l.At(start)
	require.Equal(t, idle/2, limit)
	require.True(t, l.ObserveDrop(idle/2, start))
	limit, _ = l.At(start)
	require.Equal(t, idle/4, limit)

	_, known = l.At(start.Add(dropMemory))
	require.False(t, known)
	require.True(t, l.ObserveDrop(4*idle, start.Add(dropMemory)), "what is forgotten bounds nothing")
}
