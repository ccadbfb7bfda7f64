package desk

import "time"

// drainRate is a moving average of the time between completions, in seconds.
type drainRate struct {
	samples  int
	last     time.Time
	interval float64
}

// finished records a completion. Only intervals with queued requests count, as
// the others don't show how fast the engine is.
func (r *drainRate) finished(now time.Time, busy bool) {
	if !busy {
		r.last = time.Time{}
		return
	}
	if !r.last.IsZero() {
		interval := now.Sub(r.last).Seconds()
		if r.samples == 0 {
			r.interval = interval
		}
		r.interval += rateSmoothing * (interval - r.interval)
		r.samples++
	}
	r.last = now
}

// timeFor returns the estimated time for n completions, or 0 until there are
// rateSamples samples.
func (r *drainRate) timeFor(n int) time.Duration {
	if r.samples < rateSamples {
		return 0
	}
	return time.Duration(float64(n) * r.interval * float64(time.Second))
}
