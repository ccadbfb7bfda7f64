package fitting

import "time"

// pauseJitterDivisor spreads the returns of callers after the end of a pause, by up
// to this part of the pause.
const pauseJitterDivisor = 4

// shortestPause returns the time until the first of the candidates that the request was
// not sent to takes requests again, or false if none is paused, at its limit or cold.
func shortestPause(all []Candidate) (shortest time.Duration, found bool) {
	for _, c := range all {
		d := max(c.PausedFor, c.PermitIn, c.ColdFor)
		if c.Tried || d <= 0 {
			continue
		}
		if !found || d < shortest {
			shortest, found = d, true
		}
	}
	return shortest, found
}

// AfterPause returns a time at or after the end of a pause.
func AfterPause(d time.Duration, random uint64) time.Duration {
	return d + time.Duration(mix(random)%uint64(d/pauseJitterDivisor+1))
}
