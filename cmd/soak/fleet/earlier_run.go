package fleet

import (
	"math/rand/v2"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// runMillis is how much later a target starts again, in milliseconds.
	runMillis = 5000
	// heartbeatTime is how long an entry of an earlier run stays until the next heartbeat.
	heartbeatTime = 1200 * time.Millisecond
)

// LateEarlierRuns lets targets start again under their ids and drain, and makes the store perform a heartbeat of the run
// before each, until the end time.
func (h *Harness) LateEarlierRuns(random *rand.Rand, end time.Time) error {
	for time.Now().Before(end) {
		time.Sleep(lateHeartbeatInterval/2 + time.Duration(random.Int64N(int64(lateHeartbeatInterval))))
		t := h.randomTarget(random)
		if t.Service == coldService {
			// A target that starts again is cold, which has its own check.
			continue
		}
		if err := h.addTarget(t.Service); err != nil {
			return err
		}
		h.forget(t)
		h.startAgain(t)
		time.Sleep(lateHeartbeatDelay + time.Duration(random.Int64N(int64(lateHeartbeatInterval))))
		h.remove(t, true)
		time.Sleep(lateHeartbeatDelay + time.Duration(random.Int64N(int64(lateHeartbeatInterval))))
		h.performEarlierHeartbeat(t)
	}
	return nil
}

func (h *Harness) startAgain(t *platformtest.Target) {
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	t.StartMillis += runMillis
	h.putEntry(t, "ready")
	h.record(t.ID + " starts again under its id")
}

// performEarlierHeartbeat writes the entry of the run before the present one, which the target's next heartbeat replaces.
func (h *Harness) performEarlierHeartbeat(t *platformtest.Target) {
	h.registryMu.Lock()
	h.heartbeats[t]++
	entry := t.Heartbeat(h.heartbeats[t])
	entry["born"] = t.StartMillis - runMillis
	h.store.PutJSON("servers", t.ID, entry)
	h.registryMu.Unlock()
	h.record(t.ID + " has a late heartbeat of an earlier run")
	time.Sleep(heartbeatTime)
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	h.putRemoved(t)
}
