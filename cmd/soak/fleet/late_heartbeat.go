package fleet

import (
	"math/rand/v2"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// lateHeartbeatInterval is the mean time between two late heartbeats.
	lateHeartbeatInterval = 2 * time.Second
	// lateHeartbeatDelay is how long after a target's removal its heartbeat is performed, at least.
	lateHeartbeatDelay = 500 * time.Millisecond
	// lapseTime is how long an entry stays that no further heartbeat follows.
	lapseTime = 3600 * time.Millisecond
)

// LateHeartbeats replaces targets without a word, and makes the store perform a heartbeat of each after it has
// left, until the end time.
func (h *Harness) LateHeartbeats(random *rand.Rand, end time.Time) error {
	for time.Now().Before(end) {
		time.Sleep(lateHeartbeatInterval/2 + time.Duration(random.Int64N(int64(lateHeartbeatInterval))))
		old := h.randomTarget(random)
		if err := h.addTarget(old.Service); err != nil {
			return err
		}
		h.forget(old)
		h.remove(old, false)
		time.Sleep(lateHeartbeatDelay + time.Duration(random.Int64N(int64(lateHeartbeatInterval))))
		h.performLateHeartbeat(old)
	}
	return nil
}

func (h *Harness) noteLateHeartbeat(t *platformtest.Target) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateHeartbeats[t] = true
}

func (h *Harness) performLateHeartbeat(t *platformtest.Target) {
	h.noteLateHeartbeat(t)
	h.registryMu.Lock()
	h.putEntry(t, "ready")
	h.registryMu.Unlock()
	h.record(t.ID + " has a late heartbeat")
	time.Sleep(lapseTime)
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	h.putRemoved(t)
}
