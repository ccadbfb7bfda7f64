package allowance

import "time"

const (
	firstBackoff = 20 * time.Millisecond
	lastBackoff  = 2 * time.Second
)

// Backoff returns the delay before the retry of the number, counted from 0.
// The random number lies in [0, 1) and spreads the retries of many callers.
func Backoff(retry int, random float64) time.Duration {
	d := lastBackoff
	if retry < 7 {
		d = min(firstBackoff<<retry, lastBackoff)
	}
	return time.Duration((0.5 + random/2) * float64(d))
}
