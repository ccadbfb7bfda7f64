package placement

import (
	"slices"
	"time"
)

// Result holds the measurements of one run after its warm-up.
type Result struct {
	prefixTokens int
	reusedTokens int
	sent         int
	rejected     int
	skews        []float64
	waits        map[string][]time.Duration
	bytes        map[string]float64
	duration     time.Duration
	routers      int
	minutes      []minute
}

// minute holds the measurements of one minute of a run, the warm-up included.
type minute struct {
	prefixTokens int
	reusedTokens int
	waits        []time.Duration
}

// minuteAt returns the minute that contains a time since the start.
func (r *Result) minuteAt(d time.Duration) *minute {
	i := int(d / time.Minute)
	for len(r.minutes) <= i {
		r.minutes = append(r.minutes, minute{})
	}
	return &r.minutes[i]
}

// ReuseAt returns the share of prefix tokens found cached in one minute.
func (r *Result) ReuseAt(i int) float64 {
	return float64(r.minutes[i].reusedTokens) / float64(max(r.minutes[i].prefixTokens, 1))
}

// WaitAt returns a quantile of the time in queue in one minute.
func (r *Result) WaitAt(i int, q float64) time.Duration {
	w := r.minutes[i].waits
	if len(w) == 0 {
		return 0
	}
	slices.Sort(w)
	return w[int(q*float64(len(w)-1))]
}

func newResult(routers int) *Result {
	return &Result{
		waits: map[string][]time.Duration{}, bytes: map[string]float64{}, routers: routers, duration: runLength - warmUp,
	}
}

// Reuse returns the share of the prefix tokens of returning chats that were
// found cached.
func (r *Result) Reuse() float64 { return float64(r.reusedTokens) / float64(max(r.prefixTokens, 1)) }

// Rejected returns the share of requests that were rejected.
func (r *Result) Rejected() float64 { return float64(r.rejected) / float64(max(r.sent, 1)) }

// Skew returns a quantile of an engine's load divided by the mean load, at
// admissions over the floor of the bound.
func (r *Result) Skew(q float64) float64 {
	if len(r.skews) == 0 {
		return 0
	}
	slices.Sort(r.skews)
	return r.skews[int(q*float64(len(r.skews)-1))]
}

// Wait returns a quantile of the time in queue of a class.
func (r *Result) Wait(class string, q float64) time.Duration {
	w := r.waits[class]
	if len(w) == 0 {
		return 0
	}
	slices.Sort(w)
	return w[int(q*float64(len(w)-1))]
}

// ControlRate returns the bytes per second of one kind of control traffic, as a
// mean over the routers.
func (r *Result) ControlRate(kind string) float64 {
	return r.bytes[kind] / r.duration.Seconds() / float64(r.routers)
}
