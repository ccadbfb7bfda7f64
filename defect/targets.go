package defect

import "time"

// targetRecord has when a target seemed to crash last, the zero time if it responded since,
// and when the last request was sent that it responded to.
type targetRecord struct{ crashedAt, aliveAt time.Time }

// RecordAlive records that a target responded to a request that was sent at a time: it has
// not crashed before, whatever connections it closed.
func (t *Tracker) RecordAlive(target TargetKey, sent time.Time) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.targets[target]
	if known == nil || !sent.After(known.aliveAt) {
		return
	}
	known.aliveAt = sent
	if !known.crashedAt.Before(sent) || known.crashedAt.IsZero() {
		return
	}
	known.crashedAt = time.Time{}
	for _, r := range t.records {
		if c, ok := r.crashes[target]; ok && c.at.Before(sent) {
			delete(r.crashes, target)
		}
	}
}

// noteCrash notes that a target seems to have crashed. It returns false if the target
// responded later; the caller holds mu.
func (t *Tracker) noteCrash(target TargetKey, at, now time.Time) bool {
	known := t.targets[target]
	if known == nil {
		t.forgetTargets(now)
		t.targets[target] = &targetRecord{crashedAt: at}
		return true
	}
	if !at.After(known.aliveAt) {
		return false
	}
	if at.After(known.crashedAt) {
		known.crashedAt = at
	}
	return true
}

// forgetTargets makes room if there are too many targets: it drops those whose crashes don't
// count any more, or else all. The caller holds mu.
func (t *Tracker) forgetTargets(now time.Time) {
	if len(t.targets) < maxSubjects {
		return
	}
	for target, known := range t.targets {
		if now.Sub(known.crashedAt) >= evidenceTTL {
			delete(t.targets, target)
		}
	}
	if len(t.targets) >= maxSubjects {
		clear(t.targets)
	}
}

// aliveAfter reports whether a target that seemed to crash responded to a request that was
// sent after a time; the caller holds mu.
func (t *Tracker) aliveAfter(target TargetKey, at time.Time) bool {
	known := t.targets[target]
	return known != nil && known.aliveAt.After(at)
}
