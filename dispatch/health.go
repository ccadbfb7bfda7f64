package dispatch

import (
	"sync"
	"time"

	"vanillalug.example/schedule"
)

const (
	// failuresToDown is the number of consecutive failures that mark a target
	// down.
	failuresToDown = 2
	// minRecoveryTime is how long a target that is down must succeed before it
	// is up again. It doubles with each flap, up to maxRecoveryTime.
	minRecoveryTime = time.Second
	maxRecoveryTime = 32 * time.Second
	// flapResetTime is how long a target must stay up before its recovery time
	// is reset.
	flapResetTime = 60 * time.Second
	// leavingHoldTime is how long a target stays leaving after the platform or
	// the target itself last reported it as leaving.
	leavingHoldTime = 10 * time.Second
)

// Health is the health check of one target. A target that flaps has to succeed
// for longer each time before it is up again. It is safe for concurrent use.
type Health struct {
	mu           sync.Mutex
	clock        schedule.Clock
	condition    Condition
	leaving      map[LeaveSource]bool
	leavingAt    time.Time
	failures     int
	recoveryTime time.Duration
	upSince      time.Time
	okSince      time.Time
}

// LeaveSource is the source of a report that a target is leaving.
type LeaveSource uint8

// The sources: the fleet document, the platform's VM list and the target itself.
const (
	ByDocument LeaveSource = iota
	ByPlatform
	ByTarget
)

// NewHealth returns the health of a target that is up.
func NewHealth(clock schedule.Clock) *Health {
	return &Health{clock: clock, leaving: map[LeaveSource]bool{}, recoveryTime: minRecoveryTime, upSince: clock.Now()}
}

// Condition returns whether the target accepts new requests.
func (h *Health) Condition() Condition {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.leaving {
		if l {
			return Leaving
		}
	}
	if !h.leavingAt.IsZero() && h.clock.Now().Sub(h.leavingAt) < leavingHoldTime {
		return Leaving
	}
	return h.condition
}

// SetLeaving records whether a source reports the target as leaving. A report of
// the document takes effect at once. When another source withdraws its report,
// the target stays leaving for leavingHoldTime.
func (h *Health) SetLeaving(source LeaveSource, leaving bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if leaving && source != ByDocument {
		h.leavingAt = h.clock.Now()
	}
	h.leaving[source] = leaving
}

// RecordSuccess records that a report of the target arrived.
func (h *Health) RecordSuccess() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	h.failures = 0
	if h.condition == Up {
		h.resetFlaps(now)
		return
	}
	if h.okSince.IsZero() {
		h.okSince = now
	}
	if now.Sub(h.okSince) >= h.recoveryTime {
		h.condition = Up
		h.upSince = now
	}
}

// RecordFailure records that a report or a call of the target failed.
func (h *Health) RecordFailure() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.okSince = time.Time{}
	h.failures++
	if h.failures < failuresToDown || h.condition == Down {
		return
	}
	now := h.clock.Now()
	if now.Sub(h.upSince) < flapResetTime {
		h.recoveryTime = min(2*h.recoveryTime, maxRecoveryTime)
	}
	h.condition = Down
}

// resetFlaps resets the recovery time once the target has been up for
// flapResetTime.
func (h *Health) resetFlaps(now time.Time) {
	if now.Sub(h.upSince) >= flapResetTime {
		h.recoveryTime = minRecoveryTime
	}
}
