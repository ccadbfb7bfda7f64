package capacity

import (
	"math"
	"time"
)

const (
	// timeConstant is that with which observations lose their weight, and an estimate so decays
	// to what is usual at the service. Slowness that isn't stated lasts for seconds.
	timeConstant = 2 * time.Second
	// statedConstant is the same for the slowness that a target states: it may be another one
	// half a second later.
	statedConstant = 300 * time.Millisecond
	// forgottenAfter is the number of time constants after which a stated slowness is as good as
	// gone.
	forgottenAfter = 8
	// refusalTime is how long a target counts as without room after a refusal.
	refusalTime = time.Second
	// maxSlowness bounds the slowness of a target.
	maxSlowness = 100
)

// kind is what a target's observations are an average of.
type kind int

const (
	// tokenTime is the time to read a prompt token, idlePause the pause between events at an idle
	// engine, and serviceTime the time of a plain request; each in milliseconds, without the
	// slowness that the target stated.
	tokenTime kind = iota
	idlePause
	serviceTime
	kinds
)

// target is what is known of one incarnation.
type target struct {
	service *service
	// all has the observations of this router and its peers, own those of this router.
	all, own [kinds]average
	// observedAt is the time of the newest own observation.
	observedAt time.Time
	// batch is the number of requests that ran when the last own pause was observed.
	batch int
	// stated is the slowness that the target stated at a time, 1 as usual; ownStated says that
	// it did to this router.
	stated    float64
	statedAt  time.Time
	ownStated time.Time

	refusedBeside int
	refusedAt     time.Time
	// sharedAt is when the target was last reported to peers.
	sharedAt time.Time
	slow     bool

	estimate Estimate
	// estimatedAt is in nanoseconds of the time of day; 0 if the estimate is out of date.
	estimatedAt int64
}

// statedNow returns the slowness that the target stated, which decays to the usual.
func (t *target) statedNow(now time.Time) float64 {
	age := now.Sub(t.statedAt)
	if t.stated <= 0 || t.stated == 1 || age > forgottenAfter*statedConstant {
		return 1
	}
	return 1 + (t.stated-1)*decay(age, statedConstant)
}

// state records the slowness that a target stated at a time, unless a later one is known.
func (t *target) state(percent int, at time.Time) {
	slowness := float64(percent) / 100
	if slowness > 0 && slowness <= maxSlowness && !at.Before(t.statedAt) {
		t.stated, t.statedAt = slowness, at
	}
}

// observe adds an observation of this router. It returns false if it is not believed.
func (t *target) observe(o Observation, now time.Time) bool {
	switch o := o.(type) {
	case FirstEvent:
		ms := max(milliseconds(o.Took)/t.statedNow(now)-firstEventDelay, 1)
		if o.Tokens < minTokens || !within(float64(o.Tokens)/ms, minRate, maxRate) {
			return false
		}
		t.add(tokenTime, ms/float64(o.Tokens), now)
	case Pause:
		ms := milliseconds(o.Each) / t.statedNow(now)
		if !within(ms, minPause, maxPause) || o.Batch < 0 || o.Batch > maxBatch {
			return false
		}
		t.batch = max(o.Batch, 1)
		t.add(idlePause, ms/(1+batchGrowth*float64(t.batch)), now)
	case Served:
		ms := milliseconds(o.Took) / t.statedNow(now)
		if !within(ms, 0, maxServed) {
			return false
		}
		t.add(serviceTime, max(ms, minServed), now)
	case Refused:
		t.refusedBeside, t.refusedAt = max(o.Beside, 1), now
	case Stated:
		t.state(o.Percent, now)
		t.ownStated = now
	}
	t.estimatedAt = 0
	return true
}

// minServed is the shortest service time that is told apart, in milliseconds.
const minServed = 0.1

// maxOutlier bounds how far from the usual one observation counts: a router that stood still takes
// its own pause for the target's.
const maxOutlier = 8

// add adds an own observation.
func (t *target) add(k kind, value float64, now time.Time) {
	if usual := t.service.usual[k].value; usual > 0 {
		value = min(max(value, usual/maxOutlier), usual*maxOutlier)
	}
	t.all[k].add(value, 1, now, timeConstant)
	t.own[k].add(value, 1, now, ownConstant)
	t.observedAt = now
}

// ownConstant is the time constant of the observations that are reported to peers. It is short, as
// the peers average over time themselves.
const ownConstant = 500 * time.Millisecond

// relative returns how many times as long as usual work takes at the target, without what it
// stated: by the pauses if they are known, and otherwise by the service times or the prompts.
func (t *target) relative(now time.Time) float64 {
	for _, k := range [...]kind{idlePause, serviceTime, tokenTime} {
		if usual := t.service.usual[k]; usual.value > 0 && t.all[k].weight > 0 {
			return min(max(t.all[k].relative(usual, now, timeConstant), 1./maxSlowness), maxSlowness)
		}
	}
	return 1
}

// estimateAt returns the estimate at a time, which is given in nanoseconds too: a choice compares it
// for each of its candidates.
func (t *target) estimateAt(now time.Time, nanos int64) Estimate {
	if age := nanos - t.estimatedAt; age >= 0 && age < int64(estimateAge) {
		return t.estimate
	}
	t.estimatedAt = nanos
	t.estimate = Estimate{}
	if t.service.observed {
		t.estimate = t.compute(now)
	}
	if beside := t.roomAt(now); beside > 0 {
		t.estimate.room = beside
	}
	return t.estimate
}

// estimateAge is how long an estimate is used before it is computed anew.
const estimateAge = 50 * time.Millisecond

// compute returns the estimate at a time. Engines are as slow with everything as with what is
// observed the most.
func (t *target) compute(now time.Time) Estimate {
	out := Estimate{slowness: t.relative(now) * t.statedNow(now)}
	if usual := t.service.usual[tokenTime].value; usual > 0 {
		out.prefillRate = 1 / (usual * out.slowness)
	}
	out.idlePause = t.service.usual[idlePause].value * out.slowness
	out.served = t.service.usual[serviceTime].value * out.slowness
	return out
}

// roomAt returns the number of requests beside which the target has no room, or 0.
func (t *target) roomAt(now time.Time) int {
	if t.refusedAt.IsZero() || now.Sub(t.refusedAt) > refusalTime {
		return 0
	}
	return t.refusedBeside
}

// weight returns the weight of the observations of the kind that has the most.
func (t *target) weight(now time.Time) float64 {
	out := 0.0
	for k := range kinds {
		out = max(out, t.all[k].weightAt(now, timeConstant))
	}
	return out
}

// ownCount returns the number of own observations of the kind that has the most, the older ones
// counting less.
func (t *target) ownCount() int {
	out := 0.0
	for k := range kinds {
		out = max(out, t.own[k].weight)
	}
	return int(math.Round(out))
}
