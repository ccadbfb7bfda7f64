package edition

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxRolloutWait is how long a version waits for the store to have it: a store that takes no
	// writes must not keep targets without work.
	maxRolloutWait = 2 * time.Second
	// rolloutMemory is how long a version is known after its last target was seen. It is shorter than
	// HistoryTime, after which the store drops the version.
	rolloutMemory = HistoryTime - 5*time.Second
)

// Rollout tells at which software versions streams may begin: those that the store has, so that no
// version is unknown after a restart of all routers. The first versions of a service that this router sees
// don't wait: the store has nothing of the service, or has them from before. It is safe for concurrent use.
type Rollout struct {
	mu       sync.Mutex
	services map[string]map[string]*rolledVersion
}

// rolledVersion is a software version of a service.
type rolledVersion struct {
	since    time.Time
	lastSeen time.Time
	stored   bool
}

// NewRollout returns a Rollout that has seen nothing.
func NewRollout() *Rollout { return &Rollout{services: map[string]map[string]*rolledVersion{}} }

// Observe records the versions of all targets that are registered now, by service. It reports whether
// there is one that has to wait for the store.
func (r *Rollout) Observe(versions map[string][]string, now time.Time) (waits bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	for service, list := range versions {
		waits = r.observe(service, list, now) || waits
	}
	return waits
}

// observe records the versions of one service; the caller holds mu.
func (r *Rollout) observe(service string, versions []string, now time.Time) (waits bool) {
	known := r.services[service]
	first := len(known) == 0
	if first {
		known = make(map[string]*rolledVersion, len(versions))
		r.services[service] = known
	}
	for _, v := range versions {
		if known[v] == nil {
			known[v] = &rolledVersion{since: now, stored: first}
			waits = waits || !first
		}
		known[v].lastSeen = now
	}
	return waits
}

// expire forgets versions without targets; the caller holds mu.
func (r *Rollout) expire(now time.Time) {
	for service, known := range r.services {
		for name, v := range known {
			if now.Sub(v.lastSeen) > rolloutMemory {
				delete(known, name)
			}
		}
		if len(known) == 0 {
			delete(r.services, service)
		}
	}
}

// MayBegin reports whether streams may begin at a version of a service.
func (r *Rollout) MayBegin(service, version string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.services[service][version]
	return v == nil || !v.waits(now)
}

// Waiting reports whether a version still waits for the store.
func (r *Rollout) Waiting(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, known := range r.services {
		for _, v := range known {
			if v.waits(now) {
				return true
			}
		}
	}
	return false
}

func (v *rolledVersion) waits(now time.Time) bool {
	return !v.stored && now.Sub(v.since) < maxRolloutWait
}

// Confirm ends the wait of the versions that the store has. Of a service of which it has an unknown
// version, no stream goes on after a restart of all routers without a record, so that nothing is to be waited for.
func (r *Rollout) Confirm(stored map[string]Stored) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, known := range r.services {
		has := stored[service].Versions
		for name, v := range known {
			v.stored = v.stored || slices.Contains(has, name) || slices.Contains(has, "")
		}
	}
}
