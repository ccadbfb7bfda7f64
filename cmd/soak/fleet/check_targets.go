package fleet

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// pauseDelay is how long after a rejection with a Retry-After requests that were
	// on their way may still arrive.
	pauseDelay = 500 * time.Millisecond
	// maxDuringPause is how many requests of a router may arrive during a pause.
	maxDuringPause = 2
)

// checkStated returns the requests that a router sent to a target after the target had
// stated to it that it was leaving, or that it wanted no requests. Routers that were
// stopped or paused since are left out.
func (h *Harness) checkStated(targets []*platformtest.Target) []string {
	var violations []string
	for _, t := range targets {
		for router, arrivals := range h.arrivalsByRouter(t) {
			violations = append(violations, checkLeaving(t.ID, router, arrivals)...)
			violations = append(violations, checkPauses(t.ID, router, arrivals)...)
		}
	}
	return violations
}

// arrivalsByRouter returns the arrivals of callers' requests at a target by the router
// that sent them, in order.
func (h *Harness) arrivalsByRouter(t *platformtest.Target) map[*Router][]platformtest.Arrival {
	routers := h.sendersByRequest()
	out := map[*Router][]platformtest.Arrival{}
	for _, a := range t.Arrivals() {
		if r := routers[a.ID]; r != nil {
			out[r] = append(out[r], a)
		}
	}
	return out
}

// sendersByRequest returns the router that each request was sent to.
func (h *Harness) sendersByRequest() map[string]*Router {
	routers := map[string]*Router{}
	for _, c := range h.CallLog.Calls() {
		routers[c.ID] = h.routerByName(c.Router)
	}
	return routers
}

func (h *Harness) routerByName(name string) *Router {
	for _, r := range h.Routers {
		if r.Name == name {
			return r
		}
	}
	return nil
}

func checkLeaving(target string, r *Router, arrivals []platformtest.Arrival) []string {
	var violations []string
	var stated time.Time
	for _, a := range arrivals {
		switch {
		case a.Leaving && stated.IsZero():
			stated = a.At
		case !stated.IsZero() && a.At.Sub(stated) > drainTimeout && !r.DisruptedBetween(stated, a.At):
			violations = append(violations, fmt.Sprintf("%s received %s from %s %s after it stated that it was leaving",
				target, a.ID, r.Name, a.At.Sub(stated)))
		}
	}
	return violations
}

func checkPauses(target string, r *Router, arrivals []platformtest.Arrival) []string {
	var violations []string
	for i, a := range arrivals {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(a.RetryAfter), 64)
		if err != nil || !a.Rejected {
			continue
		}
		end := a.At.Add(time.Duration(seconds * float64(time.Second)))
		n := 0
		for _, b := range arrivals[i+1:] {
			if b.At.After(a.At.Add(pauseDelay)) && b.At.Before(end) {
				n++
			}
		}
		if n > maxDuringPause && !r.DisruptedBetween(a.At, end) {
			violations = append(violations, fmt.Sprintf("%s received %d requests from %s in the %s s in which it wanted none, since %s",
				target, n, r.Name, a.RetryAfter, a.ID))
		}
	}
	return violations
}
