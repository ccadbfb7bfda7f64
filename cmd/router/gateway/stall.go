package gateway

import "time"

// maxStall is how much later than due a tick may come before the router counts as having stood
// still.
const maxStall = time.Second

// stallDetector tells from the times of regular ticks whether the router stood still between two
// of them: its process was paused, or its VM suspended, during which the steady clock stops and
// only the time of day goes on. A jump of the time of day is taken for the same.
type stallDetector struct{ last time.Time }

// tick returns whether the router stood still since the last tick, one maintainInterval before.
func (d *stallDetector) tick(now time.Time) (stalled bool) {
	last := d.last
	d.last = now
	if last.IsZero() {
		return false
	}
	steady, ofDay := now.Sub(last), now.Round(0).Sub(last.Round(0))
	return max(steady, ofDay) >= maintainInterval+maxStall
}
