package dispatch

import (
	"sync"
	"time"

	"vanillalug.example/schedule"
)

const (
	// failuresToDown is the number of failures in a row that take a target down.
	failuresToDown = 2
	firstHold      = time.Second
	lastHold       = 32 * time.Second
	// calmTime is how long a target stays up before its flaps are forgotten.
	calmTime = 60 * time.Second
	// leaveHold is how long a target that was leaving must not be leaving
	// before it takes new work again.
	leaveHold = 10 * time.Second
)

// Health decides the condition of one target from its reports. A target that
// flaps has to answer for longer each time before it is up again. It is safe
// for concurrent use.
type Health struct {
	mu        sync.Mutex
	clock     schedule.Clock
	condition Condition
	leaving   map[LeaveSource]bool
	lastWord  time.Time
	failures  int
	hold      time.Duration
	upSince   time.Time
	okSince   time.Time
}

// LeaveSource is who says that a target is leaving.
type LeaveSource uint8

// The sources of the word that a target is leaving.
const (
	ByDocument LeaveSource = iota
	ByPlatform
	ByTarget
)

// NewHealth returns the health of a target that counts as up.
func NewHealth(clock schedule.Clock) *Health {
	return &Health{clock: clock, leaving: map[LeaveSource]bool{}, hold: firstHold, upSince: clock.Now()}
}

// Condition returns whether the target takes new work.
func (h *Health) Condition() Condition {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.leaving {
		if l {
			return Leaving
		}
	}
	if !h.lastWord.IsZero() && h.clock.Now().Sub(h.lastWord) < leaveHold {
		return Leaving
	}
	return h.condition
}

// SetLeaving takes the word of one source. The document is believed at once;
// the word of the others that a target stays after all has to last.
func (h *Health) SetLeaving(source LeaveSource, leaving bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if leaving && source != ByDocument {
		h.lastWord = h.clock.Now()
	}
	h.leaving[source] = leaving
}

// RecordSuccess takes a report that came.
func (h *Health) RecordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.failures = 0
	if h.condition == Up {
		h.calm(now)
		return
	}
	if h.okSince.IsZero() {
		h.okSince = now
	}
	if now.Sub(h.okSince) >= h.hold {
		h.condition = Up
		h.upSince = now
	}
}

// RecordFailure takes a report that did not come.
func (h *Health) RecordFailure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.okSince = time.Time{}
	h.failures++
	if h.failures < failuresToDown || h.condition == Down {
		return
	}
	now := h.clock.Now()
	if now.Sub(h.upSince) < calmTime {
		h.hold = min(2*h.hold, lastHold)
	}
	h.condition = Down
}

// calm forgets former flaps after a quiet time.
func (h *Health) calm(now time.Time) {
	if now.Sub(h.upSince) >= calmTime {
		h.hold = firstHold
	}
}
