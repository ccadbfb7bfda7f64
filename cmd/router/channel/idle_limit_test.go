package channel

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestIdleLimit(t *testing.T) {
	const idle = 400 * time.Millisecond
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	var l IdleLimit
	_, known := l.Of(start)
	require.False(t, known)

	require.True(t, l.Dropped(idle, start))
	limit, known := l.Of(start)
	require.True(t, known)
	require.Equal(t, idle/2, limit)

	require.False(t, l.Dropped(2*idle, start), "a longer time teaches nothing new")
	limit, _ = l.Of(start)
	require.Equal(t, idle/2, limit)
	require.True(t, l.Dropped(idle/2, start))
	limit, _ = l.Of(start)
	require.Equal(t, idle/4, limit)

	_, known = l.Of(start.Add(dropMemory))
	require.False(t, known)
	require.True(t, l.Dropped(4*idle, start.Add(dropMemory)), "what is forgotten bounds nothing")
}
