package desk

import "time"

// rate is the smoothed time between the ends of requests.
type rate struct {
	samples int
	last    time.Time
	gap     float64
}

// finished counts the end of a request. Only gaps during which requests
// waited say how fast the engine works.
func (r *rate) finished(now time.Time, busy bool) {
	if !busy {
		r.last = time.Time{}
		return
	}
	if !r.last.IsZero() {
		gap := now.Sub(r.last).Seconds()
		if r.samples == 0 {
			r.gap = gap
		}
		r.gap += rateSmoothing * (gap - r.gap)
		r.samples++
	}
	r.last = now
}

// timeFor returns how long n requests take to end, or 0 while unknown.
func (r *rate) timeFor(n int) time.Duration {
	if r.samples < rateSamples {
		return 0
	}
	return time.Duration(float64(n) * r.gap * float64(time.Second))
}
