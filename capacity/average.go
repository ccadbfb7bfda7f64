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

// towards returns the mean at a time, drawn towards what is usual with the weight of one
// observation, so that it decays to it. A usual of 0 is unknown.
func (a *average) towards(usual float64, now time.Time, constant time.Duration) float64 {
	if a.weight <= 0 || usual <= 0 {
		return usual
	}
	weight := a.weightAt(now, constant)
	return math.Exp((weight*a.sum/a.weight + usualWeight*math.Log(usual)) / (weight + usualWeight))
}

// usualWeight is the weight of what is usual at the service, in observations.
const usualWeight = 1
