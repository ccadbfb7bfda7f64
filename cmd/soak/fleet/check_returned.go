package fleet

import (
	"fmt"
	"time"

	"vanillalug.example/platform/platformtest"
)

// checkReturned returns the requests that reached targets later than drainTimeout after their removal, through
// routers that were in touch since contactTime before, although the store performed a late heartbeat of the target.
// Soon after the store was away a removed entry may be one that lapsed meanwhile, and comes back.
func (h *Harness) checkReturned() []string {
	var violations []string
	routers := h.sendersByRequest()
	for t, at := range h.removedAt() {
		var arrivals []sentArrival
		for _, a := range t.Arrivals() {
			arrivals = append(arrivals, sentArrival{Arrival: a, router: routers[a.ID]})
		}
		violations = append(violations, h.contact.checkGone(t, at, arrivals)...)
	}
	return violations
}

// checkGone returns the arrivals at a target that was removed at a time.
func (c contact) checkGone(t *platformtest.Target, at time.Time, arrivals []sentArrival) []string {
	var violations []string
	for _, a := range arrivals {
		late := a.At.After(at.Add(drainTimeout))
		since := at.Add(-contactTime)
		if !late || a.router == nil || !c.inTouchBetween(a.router, since, a.At) || !c.storeReplaced.quietBetween(since, a.At) {
			continue
		}
		violations = append(violations, fmt.Sprintf("%s received %s from %s %s after it had left", t.ID, a.ID, a.router.Name, a.At.Sub(at)))
	}
	return violations
}
