package edition

import (
	"slices"
	"sync"
	"time"
)

// HistoryTime is how long a version is remembered after its last target was seen: that target may
// finish its streams, and a caller may take some time to go on with one.
const HistoryTime = 30 * time.Second

const (
	// maxViewAge is how old a router's view of the registry may be at any time of its history, and
	// when it speaks for it. An entry stays longer than that after its target has crashed.
	maxViewAge = 3 * time.Second
	// readTime is how long what this router itself has read from the registry counts as current.
	readTime = 300 * time.Millisecond
)

// History remembers the software versions of each service's targets. It goes back as far as the
// view of the registry was current without a gap: a router that stood still, or was cut off, may
// have missed versions. It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	// since is when it begins; the zero time before there was any target.
	since time.Time
	// currentAt is when the view was last known to be that of the registry, and readAt when this
	// router has read that itself.
	currentAt time.Time
	readAt    time.Time
	lastSeen  map[string]map[string]time.Time
}

// NewHistory returns a History that has seen nothing.
func NewHistory() *History { return &History{lastSeen: map[string]map[string]time.Time{}} }

// Observe records the versions of all targets that are registered now, by service, whether they
// take new work or not. "" stands for a target whose version is unknown.
func (h *History) Observe(versions map[string][]string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(versions) > 0 && (h.since.IsZero() || now.Before(h.since)) {
		h.since = now
	}
	for service, list := range versions {
		for _, v := range list {
			h.add(service, v, now)
		}
	}
	h.expire(now)
}

// Confirm records that the view is that of the registry, as this router has read, or as a peer
// that follows the registry says.
func (h *History) Confirm(byOwnRead bool, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.currentAt) > maxViewAge && !h.since.IsZero() && !h.currentAt.IsZero() {
		h.since = now
	}
	if now.After(h.currentAt) {
		h.currentAt = now
	}
	if byOwnRead && now.After(h.readAt) {
		h.readAt = now
	}
}

// Since returns when the history begins, without a gap until now.
func (h *History) Since() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.since
}

// Interrupt records that the router stood still until now: it begins anew.
func (h *History) Interrupt(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.currentAt, h.readAt = time.Time{}, time.Time{}
	if !h.since.IsZero() {
		h.since = now
	}
}

// read reports whether this router has read the registry just now.
func (h *History) read(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.readAt.IsZero() && now.Sub(h.readAt) <= readTime
}

// add records that a version was seen; the caller holds mu.
func (h *History) add(service, version string, now time.Time) {
	seen := h.lastSeen[service]
	if seen == nil {
		seen = map[string]time.Time{}
		h.lastSeen[service] = seen
	}
	if now.After(seen[version]) {
		seen[version] = now
	}
}

// expire forgets versions without targets; the caller holds mu.
func (h *History) expire(now time.Time) {
	for service, seen := range h.lastSeen {
		for v, at := range seen {
			if now.Sub(at) > HistoryTime {
				delete(seen, v)
			}
		}
		if len(seen) == 0 {
			delete(h.lastSeen, service)
		}
	}
}

// versions returns the versions that a service's targets had lately.
func (h *History) versions(service string, now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expire(now)
	out := make([]string, 0, len(h.lastSeen[service]))
	for v := range h.lastSeen[service] {
		out = append(out, v)
	}
	slices.Sort(out)
	return out
}

// complete reports whether the history goes back far enough, and up to now, to have every version
// with which a stream that a caller goes on with may have begun.
func (h *History) complete(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.since.IsZero() && now.Sub(h.since) >= HistoryTime && now.Sub(h.currentAt) <= maxViewAge
}

// Several reports whether a service's targets had several versions lately.
func (h *History) Several(service string, now time.Time) bool {
	return len(h.versions(service, now)) > 1
}
