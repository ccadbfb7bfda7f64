package capacity

import (
	"sync"
	"time"
)

// Table holds the estimates of the targets that are in use. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	targets  map[TargetKey]*target
	services map[string]*service
}

// NewTable returns a Table without targets.
func NewTable() *Table {
	return &Table{targets: map[TargetKey]*target{}, services: map[string]*service{}}
}

// SetTargets sets the targets that are in use, by service, and forgets the others. Only targets
// that are in use are observed, so that the table stays small whatever peers report.
func (t *Table) SetTargets(inUse map[string][]TargetKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.targets
	t.targets = make(map[TargetKey]*target, len(old))
	for name := range t.services {
		if len(inUse[name]) == 0 {
			delete(t.services, name)
		}
	}
	for name, keys := range inUse {
		s, ok := t.services[name]
		if !ok {
			s = &service{}
			t.services[name] = s
		}
		s.targets = s.targets[:0]
		for _, key := range keys {
			known, ok := old[key]
			if !ok {
				known = &target{}
			}
			known.service = s
			t.targets[key] = known
			s.targets = append(s.targets, known)
		}
	}
}

// Observe records an observation of this router. One that can't be true, or of a target that is not
// in use, is ignored.
func (t *Table) Observe(key TargetKey, o Observation, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.targets[key]; ok {
		known.observe(o, now)
	}
}

// Estimate returns the estimate of a target.
func (t *Table) Estimate(key TargetKey, now time.Time) Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate(key, now, now.UnixNano())
}

// estimate returns the estimate of a target. The caller holds mu.
func (t *Table) estimate(key TargetKey, now time.Time, nanos int64) Estimate {
	known, ok := t.targets[key]
	if !ok {
		return Estimate{}
	}
	known.service.refresh(now, nanos)
	return known.estimateAt(now, nanos)
}

// Estimates writes the estimates of targets into out, which has their number.
func Estimates[K ~uint64](t *Table, keys []K, now time.Time, out []Estimate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	nanos := now.UnixNano()
	for i, key := range keys {
		out[i] = t.estimate(TargetKey(key), now, nanos)
	}
}
