package fleet

import (
	"fmt"
	"net/http"
	"time"

	"vanillalug.example/platform/platformtest"
)

// maxDelay is how long after a caller sent a request it may begin at a target for the rest of the
// caller's time to be enough for a slow stream.
const maxDelay = 500 * time.Millisecond

// checkRunning returns the streams that were running at targets when their failure domain was
// evacuated and were cut or run again, although neither the target nor the router nor the way of the
// caller to it had a fault.
func (h *Harness) checkRunning(targets []*platformtest.Target) []string {
	calls := map[string]Call{}
	for _, c := range h.CallLog.Calls() {
		calls[c.ID] = c
	}
	last := map[string]time.Time{}
	for _, run := range runsInOrder(targets) {
		last[run.ID] = run.At
	}
	var violations []string
	for _, t := range targets {
		if t.Service != engineService {
			continue
		}
		for _, run := range t.Executions() {
			c, known := calls[run.ID]
			if known && h.runningAtEvacuation(t, run.At) && h.hasToEnd(t, c, run.At) {
				violations = append(violations, endedProperly(t.ID, c, last[run.ID].After(run.At))...)
			}
		}
	}
	return violations
}

// runningAtEvacuation reports whether a stream that began at a time at a target was running when the
// target's failure domain was evacuated, if it was a slow one.
func (h *Harness) runningAtEvacuation(t *platformtest.Target, began time.Time) bool {
	for _, e := range h.evacuations {
		if e.place == t.Place && began.Before(e.acknowledged) && began.Add(platformtest.SlowEventTime*platformtest.Events).After(e.acknowledged) {
			return true
		}
	}
	return false
}

// hasToEnd reports whether a call that began at a time at a target had no other reason to be cut than
// an evacuation.
func (h *Harness) hasToEnd(t *platformtest.Target, c Call, began time.Time) bool {
	r := h.routerByName(c.Router)
	end := began.Add(callTimeout)
	return r != nil && began.Sub(c.Sent) < maxDelay && !r.DisruptedBetween(began, end) &&
		r.callerLink.quietBetween(began, end) && h.targetFault(t).quietBetween(began, end)
}

// endedProperly returns a violation if a call that was running at a target when it was evacuated was
// cut or run again.
func endedProperly(target string, c Call, runAgain bool) []string {
	if c.Status == http.StatusOK && c.Err == nil && complete(c) && !runAgain {
		return nil
	}
	return []string{fmt.Sprintf("%s ran at %s when it was evacuated, and was not left to end (status %d, run again: %t, %v)",
		c.ID, target, c.Status, runAgain, c.Err)}
}
