package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// minLimitTime and maxLimitTime bound how long a target names a limit.
	minLimitTime = 5 * time.Second
	maxLimitTime = 9 * time.Second
	// limitContactTime is the time for all routers to know of a limit.
	limitContactTime = 3 * time.Second
	// toldDelay is how long after the arrival of a router's first request the router
	// has certainly passed on a response that names the limit.
	toldDelay   = time.Second
	limitWindow = 4 * time.Second
	// limitFactor and limitExtra are how many requests may arrive in a window: a multiple
	// of what the limit allows, and some.
	limitFactor = 1.5
	limitExtra  = 5
)

// LimitTargets makes targets name limits for some seconds each, until the end time. It
// counts as no fault: the time limits hold.
func (h *Harness) LimitTargets(random *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		t := h.randomTarget(random)
		limit := strconv.FormatFloat(1+19*random.Float64(), 'f', 1, 64)
		length := minLimitTime + time.Duration(random.Int64N(int64(maxLimitTime-minLimitTime)))
		h.record(fmt.Sprintf("%s names a limit of %s for %s", t.ID, limit, length.Round(time.Millisecond)))
		t.SetRateLimit(limit)
		time.Sleep(length)
		t.SetRateLimit("")
		time.Sleep(time.Duration(random.Int64N(int64(2 * shortPause))))
	}
}

// checkLimits returns a violation for each target that got more requests than the limit
// allows that it named, from routers that knew of it. Routers that were stopped or paused
// shortly before are left out.
func (h *Harness) checkLimits(targets []*platformtest.Target) []string {
	var violations []string
	for _, t := range targets {
		arrivals := t.Arrivals()
		for len(arrivals) > 0 {
			n := slices.IndexFunc(arrivals, func(a platformtest.Arrival) bool { return a.RateLimit != arrivals[0].RateLimit })
			if n < 0 {
				n = len(arrivals)
			}
			if v := checkLimit(t.ID, h.fromInformed(arrivals[:n]), arrivals[0].RateLimit); v != "" {
				violations = append(violations, v)
			}
			arrivals = arrivals[n:]
		}
	}
	return violations
}

// fromInformed returns the arrivals at which the sender knew of the limit that has been
// named since the first of them.
func (h *Harness) fromInformed(arrivals []platformtest.Arrival) []platformtest.Arrival {
	routers := h.sendersByRequest()
	told := map[*Router]time.Time{}
	var out []platformtest.Arrival
	for _, a := range arrivals {
		r := routers[a.ID]
		if r == nil {
			continue
		}
		first, known := told[r]
		if !known {
			told[r] = a.At
			continue
		}
		late := a.At.Sub(arrivals[0].At) > limitContactTime && a.At.Sub(first) > toldDelay
		if late && !r.DisruptedBetween(a.At.Add(-limitContactTime), a.At) {
			out = append(out, a)
		}
	}
	return out
}

// checkLimit returns a violation if too many requests arrived within one window.
func checkLimit(target string, arrivals []platformtest.Arrival, limit string) string {
	perSecond, err := strconv.ParseFloat(limit, 64)
	if err != nil {
		return ""
	}
	first := 0
	for i, a := range arrivals {
		for a.At.Sub(arrivals[first].At) > limitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > limitFactor*perSecond*limitWindow.Seconds()+limitExtra {
			return fmt.Sprintf("%s received %d requests within %s before %s, with a limit of %s a second", target, n, limitWindow, a.ID, limit)
		}
	}
	return ""
}
