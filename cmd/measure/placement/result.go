package placement

import (
	"slices"
	"time"
)

// Result is what one run measured after its warm-up.
type Result struct {
	prefix   int
	reused   int
	sent     int
	refused  int
	skews    []float64
	waits    map[string][]time.Duration
	bytes    map[string]float64
	duration time.Duration
	routers  int
	minutes  []minute
}

// minute is what one minute of a run measured, the warm-up included.
type minute struct {
	prefix int
	reused int
	waits  []time.Duration
}

// at returns the minute of a time.
func (r *Result) at(d time.Duration) *minute {
	i := int(d / time.Minute)
	for len(r.minutes) <= i {
		r.minutes = append(r.minutes, minute{})
	}
	return &r.minutes[i]
}

// ReuseAt returns the reuse in one minute.
func (r *Result) ReuseAt(i int) float64 {
	return float64(r.minutes[i].reused) / float64(max(r.minutes[i].prefix, 1))
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
		waits: map[string][]time.Duration{}, bytes: map[string]float64{}, routers: routers, duration: length - warmUp,
	}
}

// Reuse returns the share of the prefix tokens of returning chats that were
// found cached.
func (r *Result) Reuse() float64 { return float64(r.reused) / float64(max(r.prefix, 1)) }

// Rejected returns the share of requests that were refused.
func (r *Result) Rejected() float64 { return float64(r.refused) / float64(max(r.sent, 1)) }

// Skew returns a quantile of the engine's load over the mean at admissions
// over the floor of the bound.
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

// ControlRate returns the bytes a second that one router spends on a kind of
// control traffic.
func (r *Result) ControlRate(kind string) float64 {
	return r.bytes[kind] / r.duration.Seconds() / float64(r.routers)
}
