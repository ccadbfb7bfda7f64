package fleet

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// contactTime is how long nothing may have been disturbed for a bound in
	// time to hold.
	contactTime = 3 * time.Second
	// applyTime is how long a version may take until it is in force.
	applyTime = 2 * time.Second
	// drainTime is how long a leaving target may still get new work.
	drainTime = 2 * time.Second
	probeTick = 300 * time.Millisecond
	// maxAttempts is how often a request that may be repeated is run.
	maxAttempts = 2
)

// ProbeVersions asks each router for the newest version until told to stop, and
// returns what was broken: a version that is not in force in time, or an older
// one after a newer one in one lifetime of a process.
func (s *Harness) ProbeVersions(stop <-chan struct{}) []string {
	var broken []string
	for n := 0; ; n++ {
		select {
		case <-stop:
			return broken
		case <-time.After(probeTick):
		}
		s.mu.Lock()
		v := s.version
		s.mu.Unlock()
		begin := time.Now()
		time.Sleep(applyTime)
		for _, r := range s.Routers {
			status, err := SendDirect(r, versionPath(v)+"x", fmt.Sprintf("probe-%d-%s", n, r.Name))
			s.mu.Lock()
			newest := s.version == v
			s.mu.Unlock()
			since, calm := s.calm.QuietSince()
			if !newest || !calm || since.Add(contactTime).After(begin) {
				break
			}
			if err != nil || status == http.StatusNotFound {
				broken = append(broken, fmt.Sprintf("%.3f: %s: version %d is not in force after %s: status %d, %v",
					time.Since(s.start).Seconds(), r.Name, v, applyTime, status, err))
			}
		}
	}
}

// Check compares what callers got with what targets ran and returns every
// broken promise.
func (s *Harness) Check() []string {
	s.mu.Lock()
	targets := append([]*platformtest.Target(nil), s.all...)
	s.mu.Unlock()
	runs := map[string]int{}
	for _, t := range targets {
		for _, r := range t.Executions() {
			runs[r.ID]++
		}
	}
	var broken []string
	for _, c := range s.CallLog.Calls() {
		if fault := promise(c, runs[c.ID]); fault != "" {
			broken = append(broken, fmt.Sprintf("%s %s by %s: %s (status %d, runs %d, %v)", c.ID, c.Path, c.Router, fault, c.Status, runs[c.ID], c.Err))
		}
	}
	for _, r := range s.Routers {
		if n := r.UnexpectedExits(); n > 0 {
			broken = append(broken, fmt.Sprintf("%s ended %d times by itself", r.Name, n))
		}
	}
	return append(broken, s.checkLeaving()...)
}

// promise returns the promise that a call shows broken, or "".
func promise(c Call, runs int) string {
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
		if c.Err == nil && !whole(c) {
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

func whole(c Call) bool {
	if strings.HasPrefix(c.Path, "/stream/") || strings.HasPrefix(c.Path, "/broken/") {
		return c.Body == platformtest.Stream()
	}
	return c.Body == "done "+c.ID
}

// checkLeaving returns the runs at targets that had left for too long while
// nothing was disturbed.
func (s *Harness) checkLeaving() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var broken []string
	for t, at := range s.leaving {
		for _, r := range t.Executions() {
			if r.At.After(at.Add(drainTime)) && s.calm.held(at.Add(-contactTime), r.At) {
				broken = append(broken, fmt.Sprintf("%s got %s %s after it had left", t.ID, r.ID, r.At.Sub(at)))
			}
		}
	}
	return broken
}
