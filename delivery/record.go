package delivery

import "time"

const (
	// failedTime is for how long a peer that failed to deliver is asked after all others.
	failedTime = 3 * time.Second
	// busyTime is for how long a peer isn't asked that had nothing to give for now.
	busyTime = 300 * time.Millisecond
)

// Record has the peers that lately didn't deliver. It must not be used concurrently.
type Record struct {
	failed map[string]time.Time
	busy   map[string]time.Time
}

// NewRecord returns an empty Record.
func NewRecord() *Record {
	return &Record{failed: map[string]time.Time{}, busy: map[string]time.Time{}}
}

// Failed records that a call to a peer failed, or was given up as the reply didn't arrive.
func (r *Record) Failed(peer string, now time.Time) { r.failed[peer] = now.Add(failedTime) }

// Busy records that a peer replied without what it has.
func (r *Record) Busy(peer string, now time.Time) { r.busy[peer] = now.Add(busyTime) }

// Delivered records that a peer delivered.
func (r *Record) Delivered(peer string) {
	delete(r.failed, peer)
	delete(r.busy, peer)
}

// pick returns the first of the peers that may be asked and didn't fail lately, or else the one
// whose failure was the longest ago; "" if none may be asked.
func (r *Record) pick(peers []string, except map[string]time.Time, now time.Time) string {
	r.forget(now)
	best := ""
	for _, p := range peers {
		_, excluded := except[p]
		_, busy := r.busy[p]
		if excluded || busy {
			continue
		}
		if _, failed := r.failed[p]; !failed {
			return p
		}
		if best == "" || r.failed[p].Before(r.failed[best]) {
			best = p
		}
	}
	return best
}

func (r *Record) forget(now time.Time) {
	for _, until := range []map[string]time.Time{r.failed, r.busy} {
		for peer, t := range until {
			if !now.Before(t) {
				delete(until, peer)
			}
		}
	}
}
