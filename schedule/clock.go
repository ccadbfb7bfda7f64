package schedule

import "time"

// Clock returns the time and runs timers.
type Clock interface {
	// Now returns the current time, monotonic within one process.
	Now() time.Time
	// Every calls fn at each interval until cancelled. Calls of one timer never
	// overlap.
	Every(interval time.Duration, fn func(now time.Time)) (cancel func())
	// After calls fn once after the delay, unless cancelled before.
	After(delay time.Duration, fn func(now time.Time)) (cancel func())
}
