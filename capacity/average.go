package capacity

import (
	"math"
	"time"
)

// average is the mean of the logarithms of observations, weighted by age. Times that vary by
// factors have a steadier geometric mean than arithmetic one.
type average struct {
	sum, weight float64
	at          time.Time
}

// decay returns what is left after a time of something that decays with a time constant.
func decay(d, constant time.Duration) float64 {
	if d <= 0 {
		return 1
	}
	return math.Exp(-float64(d) / float64(constant))
}

// add adds an observation of a value that was made at a time, which may be before the newest one.
func (a *average) add(value, weight float64, at time.Time, constant time.Duration) {
	if a.at.IsZero() {
		a.at = at
	}
	if at.After(a.at) {
		left := decay(at.Sub(a.at), constant)
		a.sum *= left
		a.weight *= left
		a.at = at
	}
	weight *= decay(a.at.Sub(at), constant)
	a.sum += weight * math.Log(value)
	a.weight += weight
}

// weightAt returns the weight of the observations at a time.
func (a *average) weightAt(now time.Time, constant time.Duration) float64 {
	return a.weight * decay(now.Sub(a.at), constant)
}

// mean returns the geometric mean, or 0 without observations.
func (a *average) mean() float64 {
	if a.weight <= 0 {
		return 0
	}
	return math.Exp(a.sum / a.weight)
}

// relative returns the mean at a time as a multiple of what is usual, drawn towards it with the
// weight of one observation, so that it decays to it.
func (a *average) relative(usual usualValue, now time.Time, constant time.Duration) float64 {
	if a.weight <= 0 || usual.value <= 0 {
		return 1
	}
	weight := a.weightAt(now, constant)
	return math.Exp(weight * (a.sum/a.weight - usual.log) / (weight + usualWeight))
}

// usualWeight is the weight of what is usual at the service, in observations.
const usualWeight = 1

// usualValue is what is usual at a service, with its logarithm; 0 if unknown.
type usualValue struct{ value, log float64 }

func newUsualValue(v float64) usualValue { return usualValue{value: v, log: math.Log(v)} }
