package capacity

import "time"

const (
	// slowFactor is the slowness, without what the target states, from which a target counts as
	// slow, and normalFactor that below which it doesn't any more.
	slowFactor   = 2
	normalFactor = 1.4
	// minSlowWeight is the weight of the observations that make a target slow.
	minSlowWeight = 2
)

// Change says that a target has become slow, or normal again.
type Change struct {
	Target TargetKey
	Slow   bool
	// Slowness is how many times as long as usual work takes, without what the target states.
	Slowness float64
	// Age is the time since the newest observation of this router or a peer, and Weight is
	// the number of observations, the older ones counting less.
	Age    time.Duration
	Weight float64
}

// Changes returns the targets that have become slow or normal since the last call.
func (t *Table) Changes(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Change
	for key, known := range t.targets {
		known.service.refresh(now, now.UnixNano())
		slowness, weight := known.relative(now), known.weight(now)
		becomesSlow := !known.slow && slowness >= slowFactor && weight >= minSlowWeight
		if !becomesSlow && (!known.slow || slowness > normalFactor) {
			continue
		}
		known.slow = becomesSlow
		out = append(out, Change{Target: key, Slow: becomesSlow, Slowness: slowness, Age: known.age(now), Weight: weight})
	}
	return out
}

// age returns the time since the newest observation of any kind.
func (t *target) age(now time.Time) time.Duration {
	var newest time.Time
	for k := range kinds {
		if at := t.all[k].at; at.After(newest) {
			newest = at
		}
	}
	return max(now.Sub(newest), 0)
}

// Slowest returns the slowness of the slowest target of a service that counts as slow, without what
// it states; 1 if none does.
func (t *Table) Slowest(service string, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	slowest := 1.0
	s, ok := t.services[service]
	if !ok {
		return slowest
	}
	for _, known := range s.targets {
		if known.slow {
			slowest = max(slowest, known.relative(now))
		}
	}
	return slowest
}
