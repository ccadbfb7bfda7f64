package capacity_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/capacity"
)

// TestPace checks which pauses count as the target's. Load: events every 40 ms.
func TestPace(t *testing.T) {
	const pause = 40 * time.Millisecond
	tests := map[string]struct {
		events int
		// delay is added before the event with the index, write is how long the caller takes for it.
		delay, write func(i int) time.Duration
		broken       bool
		want         time.Duration
	}{
		"even":                         {events: 12, want: pause},
		"too few":                      {events: 3},
		"one long prompt in between":   {events: 6, delay: at(3, 190*time.Millisecond), want: pause},
		"slow caller":                  {events: 40, write: func(int) time.Duration { return 2 * time.Second }},
		"caller that blocks only once": {events: 12, write: at(2, time.Second), want: pause},
		"no events":                    {events: 12, broken: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var p capacity.Pace
			if tt.broken {
				p.Break()
			}
			now, got := start, time.Duration(0)
			for i := range tt.events {
				now = now.Add(pause)
				if tt.delay != nil {
					now = now.Add(tt.delay(i))
				}
				d, first := p.Read(1, now)
				require.Equal(t, i == 0 && !tt.broken, first)
				if d > 0 {
					got = d
					require.Equal(t, tt.want, d)
				}
				if tt.write != nil {
					now = now.Add(tt.write(i))
				}
				p.Written(now)
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// at returns a time for one index.
func at(index int, d time.Duration) func(int) time.Duration {
	return func(i int) time.Duration {
		if i == index {
			return d
		}
		return 0
	}
}

// TestPaceCountsEvents guards against a router that reads late taking one long pause for several.
func TestPaceCountsEvents(t *testing.T) {
	var p capacity.Pace
	p.Read(1, start)
	for i := range 5 {
		if d, _ := p.Read(4, start.Add(time.Duration(i+1)*160*time.Millisecond)); d > 0 {
			require.Equal(t, 40*time.Millisecond, d)
			return
		}
	}
	require.Fail(t, "no pause")
}
