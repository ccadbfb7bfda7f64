package edition

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxStoredVersions is the number of versions of a service that the store keeps. Of a service
	// with more, it keeps that they are unknown.
	maxStoredVersions = 32
	// maxStoredName bounds the name of a service that the store keeps, in bytes.
	maxStoredName = 200
)

// Stored is what the store has of the software versions of a service. It outlasts a restart of
// all routers.
type Stored struct {
	// Versions are sorted. "" stands for one that is unknown.
	Versions []string
	// Revision is the number of the revision at which they were written; 0 if they never were.
	Revision uint64
}

// Update is a change of what the store has of a service. Without Versions nothing is kept.
type Update struct {
	Service  string
	Versions []string
	// Revision is that of what is replaced.
	Revision uint64
}

// Updates returns the changes after which the store has the versions that were seen, by service.
func Updates(stored map[string]Stored, seen map[string][]string) []Update {
	var out []Update
	for _, service := range slices.Sorted(maps.Keys(seen)) {
		versions := storable(seen[service])
		if len(service) <= maxStoredName && !slices.Equal(versions, stored[service].Versions) {
			out = append(out, Update{Service: service, Versions: versions, Revision: stored[service].Revision})
		}
	}
	for _, service := range slices.Sorted(maps.Keys(stored)) {
		if len(seen[service]) == 0 {
			out = append(out, Update{Service: service, Revision: stored[service].Revision})
		}
	}
	return out
}

func storable(versions []string) []string {
	tooLong := func(v string) bool { return len(v) > maxNameLength }
	if len(versions) > maxStoredVersions || slices.ContainsFunc(versions, tooLong) {
		return []string{""}
	}
	return versions
}

// Answer returns the versions as an Answer of a router that knew them before all restarted.
func (s Stored) Answer() Answer {
	return Answer{Versions: s.Versions, Complete: s.Revision > 0, Stored: true}
}

// NeedsStored reports whether neither this router nor a peer knows the targets long enough to
// tell where a stream began.
func NeedsStored(own Answer, peers []Answer) bool {
	knows := func(a Answer) bool { return a.Known || a.Ambiguous || a.Complete }
	return !knows(own) && !slices.ContainsFunc(peers, knows)
}

// All returns the versions that the targets of each service had lately.
func (h *History) All(now time.Time) map[string][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	out := make(map[string][]string, len(h.lastSeen))
	for service, seen := range h.lastSeen {
		out[service] = slices.Sorted(maps.Keys(seen))
	}
	return out
}

// Recall adds what the store has: versions that were seen before this router started, or that
// it does not know yet. They are forgotten like the others.
func (h *History) Recall(stored map[string]Stored, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, s := range stored {
		for _, v := range s.Versions {
			h.add(service, v, now)
		}
	}
}
