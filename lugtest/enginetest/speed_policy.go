package enginetest

import (
	"math"
	"time"

	"vanillalug.example/capacity"
	"vanillalug.example/fitting"
)

// unobserved chooses without observations.
type unobserved struct{}

// Unobserved returns a policy that chooses by the loads alone.
func Unobserved([]capacity.TargetKey) SpeedPolicy { return unobserved{} }

func (unobserved) Choose(q fitting.Request, all []fitting.Candidate, _ time.Time) fitting.Decision {
	return fitting.Choose(q, all)
}
func (unobserved) Observe(capacity.TargetKey, capacity.Observation, time.Time) {}
func (unobserved) Own(time.Duration, time.Time) []capacity.Report              { return nil }
func (unobserved) RecordFromPeer([]capacity.Report, time.Time)                 {}

// OnlineModel is the policy of the router: an online model of each target.
type OnlineModel struct {
	*capacity.Table
	// Alone says that observations are not shared, and Silent that stated slowness is ignored.
	Alone, Silent bool
}

// Model returns the policy of the router.
func Model(keys []capacity.TargetKey) SpeedPolicy {
	m := &OnlineModel{Table: capacity.NewTable()}
	m.SetTargets(map[string][]capacity.TargetKey{service: keys})
	return m
}

// ModelAlone returns the policy of a router that shares nothing.
func ModelAlone(keys []capacity.TargetKey) SpeedPolicy {
	m := Model(keys).(*OnlineModel)
	m.Alone = true
	return m
}

// ModelUnstated returns the policy of a router that ignores what targets state.
func ModelUnstated(keys []capacity.TargetKey) SpeedPolicy {
	m := Model(keys).(*OnlineModel)
	m.Silent = true
	return m
}

// Choose implements SpeedPolicy.
func (m *OnlineModel) Choose(q fitting.Request, all []fitting.Candidate, now time.Time) fitting.Decision {
	for i := range all {
		all[i].Estimate = m.Estimate(capacity.TargetKey(fitting.KeyOf(all[i].Target.Incarnation())), now)
	}
	return fitting.Choose(q, all)
}

// Observe implements SpeedPolicy.
func (m *OnlineModel) Observe(key capacity.TargetKey, o capacity.Observation, now time.Time) {
	if _, ok := o.(capacity.Stated); ok && m.Silent {
		return
	}
	m.Table.Observe(key, o, now)
}

// Own implements SpeedPolicy.
func (m *OnlineModel) Own(lately time.Duration, now time.Time) []capacity.Report {
	if m.Alone {
		return nil
	}
	return m.Table.Own(lately, now)
}

// limits are concurrency limits of targets that follow latencies. All routers use the same, which is
// better than what they could share.
type limits struct {
	unobserved
	update  func(l *limit, o capacity.Observation)
	targets map[capacity.TargetKey]*limit
}

// limit is that of one target, with the lowest and the mean pause in milliseconds.
type limit struct{ requests, mean, best float64 }

func (s *limits) Choose(q fitting.Request, all []fitting.Candidate, _ time.Time) fitting.Decision {
	within := 0
	for i := range all {
		all[i].Tried = float64(all[i].Load.Requests()) >= s.of(capacity.TargetKey(fitting.KeyOf(all[i].Target.Incarnation()))).requests
		if !all[i].Tried {
			within++
		}
	}
	if within == 0 {
		for i := range all {
			all[i].Tried = false
		}
	}
	return fitting.Choose(q, all)
}

func (s *limits) Observe(key capacity.TargetKey, o capacity.Observation, _ time.Time) {
	s.update(s.of(key), o)
}

func (s *limits) of(key capacity.TargetKey) *limit {
	l, ok := s.targets[key]
	if !ok {
		l = &limit{requests: speedSlots}
		s.targets[key] = l
	}
	return l
}

const (
	speedSlots = 24
	// increaseTarget is the latency above which a limit is decreased, as a time to the first
	// event and as a pause.
	firstEventTarget = 300 * time.Millisecond
	pauseTarget      = 200 * time.Millisecond
	decreaseFactor   = 0.8
)

// AdditiveIncrease returns a policy with limits that grow by one a round while latencies are below a
// target, and shrink by a fifth when one is above it.
func AdditiveIncrease() func([]capacity.TargetKey) SpeedPolicy {
	shared := &limits{targets: map[capacity.TargetKey]*limit{}, update: func(l *limit, o capacity.Observation) {
		late := false
		switch o := o.(type) {
		case capacity.FirstEvent:
			late = o.Took > firstEventTarget
		case capacity.Pause:
			late = o.Each > pauseTarget
		default:
			return
		}
		if late {
			l.requests = max(l.requests*decreaseFactor, 1)
			return
		}
		l.requests = min(l.requests+1/l.requests, speedSlots)
	}}
	return func([]capacity.TargetKey) SpeedPolicy { return shared }
}

// GradientLimits returns a policy with limits that follow the ratio of the lowest to the mean pause
// of each target.
func GradientLimits() func([]capacity.TargetKey) SpeedPolicy {
	shared := &limits{targets: map[capacity.TargetKey]*limit{}, update: func(l *limit, o capacity.Observation) {
		pause, ok := o.(capacity.Pause)
		if !ok {
			return
		}
		ms := pause.Each.Seconds() * 1000
		if l.mean == 0 {
			l.mean, l.best = ms, ms
		}
		l.mean += 0.2 * (ms - l.mean)
		l.best = min(l.best*1.001, l.mean)
		change := max(0.5, min(1, gradientTolerance*l.best/l.mean))
		l.requests += gradientWeight * (l.requests*change + math.Sqrt(l.requests) - l.requests)
		l.requests = min(max(l.requests, 1), speedSlots)
	}}
	return func([]capacity.TargetKey) SpeedPolicy { return shared }
}

// VegasLimits returns a policy with limits that keep the requests that wait, by the ratio of the
// lowest to the mean pause, between two bounds.
func VegasLimits() func([]capacity.TargetKey) SpeedPolicy {
	shared := &limits{targets: map[capacity.TargetKey]*limit{}, update: func(l *limit, o capacity.Observation) {
		pause, ok := o.(capacity.Pause)
		if !ok {
			return
		}
		ms := pause.Each.Seconds() * 1000
		if l.mean == 0 {
			l.mean, l.best = ms, ms
		}
		l.mean += 0.2 * (ms - l.mean)
		l.best = min(l.best*1.001, l.mean)
		switch waiting := l.requests * (1 - l.best/l.mean); {
		case waiting < 3:
			l.requests = min(l.requests+1, speedSlots)
		case waiting > 6:
			l.requests = max(l.requests-1, 1)
		}
	}}
	return func([]capacity.TargetKey) SpeedPolicy { return shared }
}
