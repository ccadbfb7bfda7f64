package allowance

import "time"

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Backoff returns the delay before a retry: exponential backoff with jitter. The
// retries are numbered from 0. The random number, in [0, 1), spreads the retries
// of many callers.
func Backoff(retry int, random float64) time.Duration {
	d := maxBackoff
	if retry < 7 {
		d = min(initialBackoff<<retry, maxBackoff)
	}
	return time.Duration((0.5 + random/2) * float64(d))
}
