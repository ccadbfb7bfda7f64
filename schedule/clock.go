package schedule

import "time"

// Clock tells the time and calls subscribers.
type Clock interface {
	// Now returns the current time, monotonic within one process.
	Now() time.Time
	// Every calls fn each time the interval has passed, until cancelled.
	// Calls of one subscription never overlap.
	Every(interval time.Duration, fn func(now time.Time)) (cancel func())
	// After calls fn once when the delay has passed, unless cancelled first.
	After(delay time.Duration, fn func(now time.Time)) (cancel func())
}
