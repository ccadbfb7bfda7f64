package defect

import (
	"sync"
	"time"
)

// soundTime is how long after a target has run well on a subject crashes don't count against
// the subject: a target that crashes for another reason breaks off all that it runs, also what
// it has just begun. Reports may be late by maxReportDelay.
const soundTime = maxReportDelay

// soundTimes has when targets ran well on subjects lately, in two generations: the older one is
// dropped after a soundTime, so that it needs no timer and its size follows the load. It is safe
// for concurrent use.
type soundTimes struct {
	mu      sync.Mutex
	newer   map[Subject]time.Time
	older   map[Subject]time.Time
	rotated time.Time
}

// record notes that a target ran well on the subjects at a time.
func (l *soundTimes) record(subjects []Subject, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.newer == nil || at.Sub(l.rotated) >= 2*soundTime || len(l.newer) >= maxSubjects {
		l.newer, l.older, l.rotated = map[Subject]time.Time{}, l.newer, at
	}
	for _, s := range subjects {
		l.newer[s] = at
	}
}

// last returns when a target last ran well on a subject, the zero time if that is long ago.
func (l *soundTimes) last(s Subject) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.newer[s]; ok {
		return at
	}
	return l.older[s]
}
