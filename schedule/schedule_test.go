package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFake(t *testing.T) {
	start := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	f := NewFake(start)
	var got []string
	cancel := f.Every(2*time.Second, func(time.Time) { got = append(got, "every") })
	f.After(3*time.Second, func(now time.Time) {
		got = append(got, "after")
		require.Equal(t, start.Add(3*time.Second), now)
		f.After(time.Second, func(time.Time) { got = append(got, "nested") })
	})
	f.Advance(5 * time.Second)
	require.Equal(t, []string{"every", "after", "every", "nested"}, got)
	cancel()
	f.Advance(10 * time.Second)
	require.Len(t, got, 4)
	require.Equal(t, start.Add(15*time.Second), f.Now())
}

func TestFakeJump(t *testing.T) {
	f := NewFake(time.Now())
	calls := 0
	f.Every(time.Second, func(time.Time) { calls++ })
	f.Jump(time.Minute)
	require.Zero(t, calls)
	f.Advance(time.Second)
	require.Equal(t, 2, calls, "one missed during the jump and one due")
}

func TestSystem(t *testing.T) {
	c := NewSystem()
	done := make(chan struct{})
	cancel := c.Every(time.Millisecond, func(time.Time) {
		select {
		case done <- struct{}{}:
		default:
		}
	})
	<-done
	cancel()
	cancel()
	c.After(time.Millisecond, func(time.Time) { close(done) })
	<-done
	require.WithinDuration(t, time.Now(), c.Now(), time.Minute)
}
