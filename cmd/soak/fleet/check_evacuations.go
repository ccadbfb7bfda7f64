package fleet

import (
	"fmt"
	"time"

	"vanillalug.example/platform/platformtest"
)

// The bounds of docs/HARD-LOAD.md, part 1.
const (
	// evacuationTimeout is how long after the store's acknowledgement requests may still begin at the
	// targets of an evacuated failure domain.
	evacuationTimeout = 5 * time.Second
	// replacedExtension is how much longer that is if the store lost what was written or its history.
	replacedExtension = 6 * time.Second
	// returnTimeout is how long a restored failure domain may get no requests. The page states no
	// bound; this is that of an evacuation.
	returnTimeout = 5 * time.Second
)

// sentArrival is an arrival of a caller's request, with the router that it was sent to.
type sentArrival struct {
	platformtest.Arrival
	router *Router
}

// checkEvacuations returns the requests that routers in touch sent to evacuated failure domains,
// the requests running there that did not end properly, and the domains that were not used again.
// callersStopped is when the callers sent no more requests.
func (h *Harness) checkEvacuations(targets []*platformtest.Target, callersStopped time.Time) []string {
	var violations []string
	routers := h.sendersByRequest()
	for i, e := range h.evacuations {
		arrivals := map[*platformtest.Target][]sentArrival{}
		for _, t := range targets {
			if t.Place != e.place {
				continue
			}
			for _, a := range t.Arrivals() {
				arrivals[t] = append(arrivals[t], sentArrival{Arrival: a, router: routers[a.ID]})
			}
			violations = append(violations, e.checkArrivals(t.ID, arrivals[t], h.contact)...)
		}
		violations = append(violations, e.checkReturn(h.returnDeadline(e), h.unusedFrom(i, callersStopped), arrivals, h.removedAt())...)
	}
	return append(violations, h.checkRunning(targets)...)
}

// deadline is the time from which no request may begin at a target of the failure domain.
func (e evacuation) deadline(c contact) time.Time {
	end := e.acknowledged.Add(evacuationTimeout)
	if !c.storeReplaced.quietBetween(e.acknowledged, end) {
		end = end.Add(replacedExtension)
	}
	return end
}

// checkArrivals returns the requests that began at a target after the deadline, out of those of
// routers in touch.
func (e evacuation) checkArrivals(target string, arrivals []sentArrival, c contact) []string {
	var violations []string
	deadline := e.deadline(c)
	for _, a := range arrivals {
		if a.router == nil || a.At.Before(deadline) || a.At.After(e.removed) || !c.inTouch(a.router, a.At) {
			continue
		}
		violations = append(violations, fmt.Sprintf("%s received %s from %s %s after %s was evacuated",
			target, a.ID, a.router.Name, a.At.Sub(e.acknowledged), e.place))
	}
	return violations
}

// returnDeadline returns when a restored failure domain has to get requests at the latest: when no
// fault was active for returnTimeout.
func (h *Harness) returnDeadline(e evacuation) time.Time {
	return h.tracker.quietFrom(e.removed, returnTimeout).Add(returnTimeout)
}

// unusedFrom returns when the failure domain of the nth evacuation got no more requests for other
// reasons: it was evacuated again, or the callers stopped.
func (h *Harness) unusedFrom(n int, callersStopped time.Time) time.Time {
	for _, e := range h.evacuations[n+1:] {
		if e.place == h.evacuations[n].place {
			return e.acknowledged
		}
	}
	return callersStopped
}

// checkReturn returns a violation if the failure domain got no request until the deadline, although
// it had targets.
func (e evacuation) checkReturn(deadline, unused time.Time, arrivals map[*platformtest.Target][]sentArrival,
	removed map[*platformtest.Target]time.Time,
) []string {
	if deadline.After(unused) {
		return nil
	}
	usable := false
	for _, t := range e.ready {
		// A target may state that it is leaving for changeInterval before it is removed.
		at, gone := removed[t]
		usable = usable || !gone || at.Add(-changeInterval).After(deadline)
	}
	for _, list := range arrivals {
		for _, a := range list {
			if a.At.After(e.removed) && a.At.Before(deadline) {
				return nil
			}
		}
	}
	if !usable {
		return nil
	}
	return []string{fmt.Sprintf("%s got no request within %s after it was restored", e.place, deadline.Sub(e.removed))}
}
