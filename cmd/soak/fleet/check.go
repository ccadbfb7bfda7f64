package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// quietPeriod is how long no fault may have been active before a time limit
	// is enforced.
	quietPeriod = 3 * time.Second
	// activationTimeout is how long a version may take to become active.
	activationTimeout = 2 * time.Second
	// drainTimeout is how long a removed target may still receive new requests.
	drainTimeout  = 2 * time.Second
	probeInterval = 300 * time.Millisecond
	// maxAttempts is how often a request that may be retried is run at most.
	maxAttempts = 2
)

// ProbeVersions sends requests to the newest version's route at each router until
// stop is closed. It returns the violations: versions that were not active within
// activationTimeout.
func (h *Harness) ProbeVersions(stop <-chan struct{}) []string {
	var violations []string
	for n := 0; ; n++ {
		select {
		case <-stop:
			return violations
		case <-time.After(probeInterval):
		}
		h.mu.Lock()
		v := h.version
		h.mu.Unlock()
		begin := time.Now()
		time.Sleep(activationTimeout)
		for _, r := range h.Routers {
			status, err := SendDirect(r, versionPath(v)+"x", fmt.Sprintf("probe-%d-%s", n, r.Name))
			h.mu.Lock()
			newest := h.version == v
			h.mu.Unlock()
			since, quiet := h.tracker.QuietSince()
			if !newest || !quiet || since.Add(quietPeriod).After(begin) {
				break
			}
			if err != nil || status == http.StatusNotFound {
				violations = append(violations, fmt.Sprintf("%.3f: %s: version %d is not active after %s: status %d, %v",
					time.Since(h.start).Seconds(), r.Name, v, activationTimeout, status, err))
			}
		}
	}
}

// Check compares the callers' results with the targets' executions and returns
// every violation. callersStopped is when the callers sent no more requests.
func (h *Harness) Check(callersStopped time.Time) []string {
	h.mu.Lock()
	targets := append([]*platformtest.Target(nil), h.all...)
	h.mu.Unlock()
	runs := map[string]int{}
	for _, t := range targets {
		for _, r := range t.Executions() {
			runs[r.ID]++
		}
	}
	var violations []string
	for _, c := range h.CallLog.Calls() {
		if v := violation(c, runs[c.ID]); v != "" {
			violations = append(violations, fmt.Sprintf("%s %s by %s: %s (status %d, runs %d, %v)", c.ID, c.Path, c.Router, v, c.Status, runs[c.ID], c.Err))
		}
	}
	for _, r := range h.Routers {
		if n := r.UnexpectedExits(); n > 0 {
			violations = append(violations, fmt.Sprintf("%s exited %d times unexpectedly", r.Name, n))
		}
	}
	violations = append(violations, h.checkStated(targets)...)
	violations = append(violations, h.checkLimits(targets)...)
	violations = append(violations, h.checkEvacuations(targets, callersStopped)...)
	if h.hardLoad {
		violations = append(violations, h.checkCold()...)
		violations = append(violations, h.checkDeadly()...)
		violations = append(violations, h.checkReturned()...)
	}
	violations = append(violations, checkSoftwareVersions(targets)...)
	return append(violations, h.checkRemoved()...)
}

// violation returns the violation that the call shows, or "".
func violation(c Call, runs int) string {
	once := strings.HasPrefix(c.Path, "/once/") || strings.HasPrefix(c.Path, "/broken/")
	switch {
	case once && runs > 1:
		return "ran more than once"
	case runs > maxAttempts:
		return "ran more often than its attempts"
	}
	switch c.Status {
	case 0:
		return ""
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if runs > 0 {
			return "refused, but run"
		}
	case http.StatusOK:
		if !strings.HasSuffix(c.Seal, "."+c.ID) {
			return "success without its seal"
		}
		if c.Err == nil && !complete(c) {
			return "success with a body that is not whole: " + c.Body
		}
	case http.StatusInternalServerError:
		if !strings.HasSuffix(c.Seal, "."+c.ID) {
			return "a target's failure without its seal"
		}
	case http.StatusBadGateway, http.StatusGatewayTimeout:
		if c.Seal != "" {
			return "a failure of the router's own with a seal"
		}
	default:
		return "not an answer to a proper request"
	}
	return ""
}

func complete(c Call) bool {
	if strings.HasPrefix(c.Path, "/stream/") || strings.HasPrefix(c.Path, "/broken/") {
		return c.Body == platformtest.StreamAfter(c.After)
	}
	return c.Body == "done "+c.ID
}

// mayBeBack reports whether a target that was removed at a time may be used by a late heartbeat: the store had been replaced
// within contactTime before, so that it wasn't stable, and its copy may lack the entry. The caller holds mu.
func (h *Harness) mayBeBack(t *platformtest.Target, removed time.Time) bool {
	return h.lateHeartbeats[t] && !h.contact.storeReplaced.quietBetween(removed.Add(-contactTime), removed)
}

// checkRemoved returns the executions at targets later than drainTimeout after
// their removal. It leaves out those with a fault in the quietPeriod before the
// removal or since.
func (h *Harness) checkRemoved() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var violations []string
	for t, at := range h.removed {
		for _, r := range t.Executions() {
			if r.At.After(at.Add(drainTimeout)) && h.tracker.quietBetween(at.Add(-quietPeriod), r.At) && !h.mayBeBack(t, at) {
				violations = append(violations, fmt.Sprintf("%s received %s %s after its removal", t.ID, r.ID, r.At.Sub(at)))
			}
		}
	}
	return violations
}
