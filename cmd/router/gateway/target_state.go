package gateway

import (
	"sync"
	"time"

	"vanillalug.example/fitting"
	"vanillalug.example/quota"
)

const (
	// suspectThreshold is the sum of weights of consecutive failures that makes a
	// target suspect.
	suspectThreshold = 2
	// connectFailureWeight makes a target suspect after one failed connect.
	connectFailureWeight  = suspectThreshold
	responseFailureWeight = 1
	suspectTime           = time.Second
	maxSuspectTime        = 8 * time.Second
)

// targetStateRetention is how long the state of a target that is not usable is kept. An
// entry that lapsed may be back by then.
const targetStateRetention = 2 * time.Minute

// targetState is what this router learned from one incarnation of a target itself: the
// passive health check, and when the target takes requests. It is safe for concurrent use.
type targetState struct {
	key fitting.Key

	mu           sync.Mutex
	failures     int
	suspectUntil time.Time
	pausedUntil  time.Time
	// permitFrom is when it is worth to ask for a permit again.
	permitFrom time.Time
}

// suspect reports whether the target has failed recently.
func (s *targetState) suspect(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.suspectUntil)
}

// recordSuccess resets the failures.
func (s *targetState) recordSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = 0
	s.suspectUntil = time.Time{}
}

// recordFailure adds a failure with its weight. If that makes the target suspect,
// it returns until when; otherwise the zero time.
func (s *targetState) recordFailure(now time.Time, weight int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures += weight
	if s.failures < suspectThreshold {
		return time.Time{}
	}
	wasSuspect := now.Before(s.suspectUntil)
	s.suspectUntil = now.Add(min(suspectTime<<min(s.failures-suspectThreshold, 4), maxSuspectTime))
	if wasSuspect {
		return time.Time{}
	}
	return s.suspectUntil
}

// pause records that the target wants no requests until a time.
func (s *targetState) pause(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.After(s.pausedUntil) {
		s.pausedUntil = until
	}
}

// pausedFor returns how long the target wants no requests; 0 or less if it takes
// them.
func (s *targetState) pausedFor(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pausedUntil.Sub(now)
}

// noPermitUntil records that no permit was to be had, and when it is worth to ask again.
func (s *targetState) noPermitUntil(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.permitFrom = at
}

// permitIn returns the time until it is worth to ask for a permit; 0 or less is now.
func (s *targetState) permitIn(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.permitFrom.Sub(now)
}

// limitKey returns the key of the target's limit.
func (s *targetState) limitKey() quota.TargetKey { return quota.TargetKey(s.key) }

// targetStates holds the states of the targets that are usable or were so lately, by
// incarnation. It is safe for concurrent use.
type targetStates struct {
	mu            sync.Mutex
	byIncarnation map[string]*retainedState
}

// retainedState is a state and when its target was last usable.
type retainedState struct {
	state    *targetState
	usableAt time.Time
}

func newTargetStates() *targetStates {
	return &targetStates{byIncarnation: map[string]*retainedState{}}
}

// get returns the state of an incarnation that is usable.
func (l *targetStates) get(incarnation string, now time.Time) *targetState {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.byIncarnation[incarnation]
	if !ok {
		r = &retainedState{state: &targetState{key: fitting.KeyOf(incarnation)}}
		l.byIncarnation[incarnation] = r
	}
	r.usableAt = now
	return r.state
}

// expire forgets the states of targets that have not been usable for longer than
// targetStateRetention, and returns the keys of the others.
func (l *targetStates) expire(usable map[string]*upstream, now time.Time) map[quota.TargetKey]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := map[quota.TargetKey]bool{}
	for incarnation, r := range l.byIncarnation {
		if usable[incarnation] != nil {
			r.usableAt = now
		}
		if now.Sub(r.usableAt) > targetStateRetention {
			delete(l.byIncarnation, incarnation)
			continue
		}
		kept[r.state.limitKey()] = true
	}
	return kept
}
