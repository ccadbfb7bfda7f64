package capacity

import "time"

// batchGrowth is how much longer a pause is for each further request that runs at an engine, as a
// fraction of the pause at an idle one.
const batchGrowth = 0.025

// Estimate is what a target is expected to do now. A figure of 0 is unknown. The zero Estimate is
// that of a target of a service without observations.
type Estimate struct {
	// prefillRate is in prompt tokens per millisecond.
	prefillRate float64
	// idlePause is the pause between events at an idle engine, and served the service time of a
	// plain request, in milliseconds.
	idlePause, served float64
	// slowness is how many times as long as usual at the service work takes; 0 if unknown.
	slowness float64
	// room is the number of requests beside which the target lately had no room for another;
	// 0 if it had.
	room int
}

// Prediction is what the caller of one more request at a target gets. A figure of 0 is unknown.
type Prediction struct {
	// FirstEvent is the time until the first event.
	FirstEvent time.Duration
	// Pause is the time between two events.
	Pause time.Duration
}

// PrefillRate returns the prompt tokens that the target reads in a millisecond, or 0 if unknown.
func (e Estimate) PrefillRate() float64 { return e.prefillRate }

// Slowness returns how many times as long as usual at the service work takes at the target; 1 if
// it is unknown.
func (e Estimate) Slowness() float64 {
	if e.slowness <= 0 {
		return 1
	}
	return e.slowness
}

// KnowsPauses reports whether the pauses between events are known.
func (e Estimate) KnowsPauses() bool { return e.idlePause > 0 }

// Served returns the service time of a plain request, or 0 if unknown.
func (e Estimate) Served() time.Duration { return fromMilliseconds(e.served) }

// HasRoom reports whether the target is expected to have room for one more request beside others.
func (e Estimate) HasRoom(beside int) bool { return e.room == 0 || beside < e.room }

// Predict returns what is expected of one more request beside others, with so many prompt tokens to
// be read until its first event.
func (e Estimate) Predict(beside, tokens int) Prediction {
	var out Prediction
	if e.prefillRate > 0 {
		out.FirstEvent = fromMilliseconds(float64(max(tokens, 0))/e.prefillRate + firstEventDelay*e.Slowness())
	}
	if e.idlePause > 0 {
		out.Pause = fromMilliseconds(e.idlePause * (1 + batchGrowth*float64(max(beside, 0)+1)))
	}
	return out
}

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
