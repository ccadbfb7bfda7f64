package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// coldService is a service with a cold start.
	coldService = "vision"
	// coldStart is how long its targets are cold after their start, and coldRate how many requests a
	// second they take meanwhile. The callers send several times the bound that follows.
	coldStart = 3 * time.Second
	coldRate  = 2.0
	// minCold and maxCold bound how long a target is cold that becomes cold by itself.
	minCold = 5 * time.Second
	maxCold = 9 * time.Second
	// heartbeatInterval is how often the entries of such targets are written.
	heartbeatInterval = time.Second
)

// coldPeriod is the time for which a target was cold.
type coldPeriod struct {
	target      *platformtest.Target
	from, until time.Time
	// announced is set if routers could know from the beginning that the target is cold.
	announced bool
}

// CoolTargets makes targets cold, at times with a new incarnation, until the end time. It counts as no
// fault: the time limits hold.
func (h *Harness) CoolTargets(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(random.Int64N(int64(changeInterval))))
		length := minCold + time.Duration(random.Int64N(int64(maxCold-minCold)))
		h.coolTarget(h.randomTarget(random), length, random.IntN(2) == 0)
	}
}

// coolTarget makes a target cold from now on. It does nothing if the target has no cold start, is cold
// or was replaced.
func (h *Harness) coolTarget(t *platformtest.Target, length time.Duration, restart bool) {
	h.registryMu.Lock()
	defer h.registryMu.Unlock()
	if t.Service != coldService || h.isCold(t) || !h.inUse(t) {
		return
	}
	if restart {
		t.StartMillis++
		t.CloseConns()
	}
	h.cool(t, length, false)
	h.putEntry(t, "ready")
	h.record(fmt.Sprintf("%s is cold for %s, restarted: %t", t.ID, length.Round(time.Millisecond), restart))
}

// cool makes a target cold; the caller holds registryMu.
func (h *Harness) cool(t *platformtest.Target, length time.Duration, announced bool) {
	now := time.Now()
	for i, p := range h.coldPeriods {
		if p.target == t && now.Before(p.until) {
			h.coldPeriods[i].until = now
		}
	}
	h.coldPeriods = append(h.coldPeriods, coldPeriod{target: t, from: now, until: now.Add(length), announced: announced})
	t.SetCold(platformtest.Cold{For: length, MaxPerSecond: math.MaxInt, InResponses: true})
}

// coolRestored makes the targets of a failure domain cold that is about to be restored; the caller
// holds registryMu. Routers can know of it if all of them have known of the evacuation.
func (h *Harness) coolRestored(e evacuation) {
	announced := !e.removed.Before(e.deadline(h.contact)) && h.allInTouch(e.removed)
	for _, t := range e.ready {
		if t.Service == coldService {
			h.cool(t, coldStart, announced)
			h.putEntry(t, "ready")
		}
	}
}

// isCold reports whether a target is cold; the caller holds registryMu.
func (h *Harness) isCold(t *platformtest.Target) bool {
	for _, p := range h.coldPeriods {
		if p.target == t && time.Now().Before(p.until) {
			return true
		}
	}
	return false
}

// SendHeartbeats writes the entries of the targets with a cold start again and again, until stop is
// closed.
func (h *Harness) SendHeartbeats(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
		h.registryMu.Lock()
		for _, place := range places {
			for _, t := range h.readyTargets(place) {
				if t.Service == coldService {
					h.putEntry(t, "ready")
				}
			}
		}
		h.registryMu.Unlock()
	}
}

// putEntry writes the next entry of a target; the caller holds registryMu.
func (h *Harness) putEntry(t *platformtest.Target, state string) {
	h.heartbeats[t]++
	entry := t.Heartbeat(h.heartbeats[t])
	entry["state"] = state
	h.store.PutJSON("servers", t.ID, entry)
}
