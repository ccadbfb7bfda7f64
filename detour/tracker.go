package detour

import (
	"slices"
	"sync"
	"time"
)

const (
	// failureTime is how long a failed connect counts.
	failureTime = 3 * time.Second
	// minFailures is the number of targets to which connects must fail, unless a service has
	// fewer. A few targets that crash together are no partition.
	minFailures = 3
	// probeInterval is the time between two probes of a service that can't be reached.
	probeInterval = 500 * time.Millisecond
)

// TargetKey identifies an incarnation of a target.
type TargetKey uint64

// Tracker tells from the outcome of its connects whether a router reaches the targets of each
// service. What fails on a connection that was open is no evidence: the target may be at fault.
// It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	services map[string]*links
}

// links is what is known of the way to the targets of a service.
type links struct {
	// failed has the targets to which the last connect failed, and when.
	failed map[TargetKey]time.Time
	// cutSince is when the service became unreachable; the zero time if it is reachable.
	cutSince time.Time
	probedAt time.Time
}

// NewTracker returns a Tracker that takes every service for reachable.
func NewTracker() *Tracker { return &Tracker{services: map[string]*links{}} }

func (t *Tracker) links(service string) *links {
	l := t.services[service]
	if l == nil {
		l = &links{failed: map[TargetKey]time.Time{}}
		t.services[service] = l
	}
	return l
}

// RecordFailure records that no connection to a target could be opened; targets is the number
// of targets of the service. It reports whether the service is unreachable from now on.
func (t *Tracker) RecordFailure(service string, target TargetKey, targets int, now time.Time) (cut bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links(service)
	for k, at := range l.failed {
		if now.Sub(at) > failureTime {
			delete(l.failed, k)
		}
	}
	l.failed[target] = now
	if !l.cutSince.IsZero() || len(l.failed) < min(minFailures, targets) {
		return false
	}
	l.cutSince = now
	return true
}

// RecordConnect records that a connection to a target of the service was opened. If the service
// was unreachable, it returns for how long.
func (t *Tracker) RecordConnect(service string, now time.Time) (cutFor time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, known := t.services[service]
	if !known {
		return 0
	}
	delete(t.services, service)
	if l.cutSince.IsZero() {
		return 0
	}
	return max(now.Sub(l.cutSince), 1)
}

// Unreachable reports whether the targets of the service can't be reached.
func (t *Tracker) Unreachable(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, known := t.services[service]
	return known && !l.cutSince.IsZero()
}

// UnreachableServices returns the services whose targets can't be reached, sorted.
func (t *Tracker) UnreachableServices() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for service, l := range t.services {
		if !l.cutSince.IsZero() {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// ProbesDue returns the services whose targets should be probed now: those that can't be reached,
// at intervals, and those to which a connect has failed since the last probe.
func (t *Tracker) ProbesDue(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for service, l := range t.services {
		if l.cutSince.IsZero() && !l.failedSince(l.probedAt, now) || now.Sub(l.probedAt) < probeInterval {
			continue
		}
		l.probedAt = now
		out = append(out, service)
	}
	slices.Sort(out)
	return out
}

// failedSince reports whether a connect that still counts failed after a time.
func (l *links) failedSince(after, now time.Time) bool {
	for _, at := range l.failed {
		if at.After(after) && now.Sub(at) <= failureTime {
			return true
		}
	}
	return false
}

// Retain forgets all services but those that are in use.
func (t *Tracker) Retain(inUse func(service string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for service := range t.services {
		if !inUse(service) {
			delete(t.services, service)
		}
	}
}
