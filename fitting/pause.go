package fitting

import "time"

// pauseJitterDivisor spreads the returns of callers after the end of a pause, by up
// to this part of the pause.
const pauseJitterDivisor = 4

// shortestPause returns the time until the first of the paused candidates that the
// request was not sent to takes requests again, or false if there is none.
func shortestPause(all []Candidate) (shortest time.Duration, found bool) {
	for _, c := range all {
		if c.Tried || c.PausedFor <= 0 {
			continue
		}
		if !found || c.PausedFor < shortest {
			shortest, found = c.PausedFor, true
		}
	}
	return shortest, found
}

// afterPause returns a time at or after the end of a pause.
func afterPause(d time.Duration, random uint64) time.Duration {
	return d + time.Duration(mix(random)%uint64(d/pauseJitterDivisor+1))
}
