package fleet

import (
	"fmt"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// coldOverrun and coldTolerance are the bound of docs/HARD-LOAD.md, part 2: a multiple of the rate,
	// and some requests.
	coldOverrun   = 1.5
	coldTolerance = 5
	coldWindow    = time.Second
	// coldNotice is how long a store that works has the entry of a target that became cold by itself
	// before every router can know: the state of peers is up to 2 s old.
	coldNotice = 2 * time.Second
)

// checkCold returns a violation for each time that a cold target got more requests in a second than
// the bound, whether or not the routers were in touch.
func (h *Harness) checkCold() []string {
	var violations []string
	for _, p := range h.coldPeriods {
		if v := p.check(p.target.Arrivals(), p.known(h.contact)); v != "" {
			violations = append(violations, fmt.Sprintf("%s, cold since %.3f", v, p.from.Sub(h.start).Seconds()))
		}
	}
	return violations
}

// known returns when every router can know that the target is cold.
func (p coldPeriod) known(c contact) time.Time {
	if p.announced {
		return p.from
	}
	return c.storeFaults.quietFrom(p.from, coldNotice).Add(coldNotice)
}

// check returns a violation if too many requests arrived in a second in which the target was cold and
// the routers could know. The arrivals are in order.
func (p coldPeriod) check(arrivals []platformtest.Arrival, known time.Time) string {
	var second []platformtest.Arrival
	most := 0
	last := ""
	for _, a := range arrivals {
		if a.At.Before(known) || !a.At.Before(p.until) {
			continue
		}
		second = append(second, a)
		for a.At.Sub(second[0].At) >= coldWindow {
			second = second[1:]
		}
		if len(second) > most {
			most, last = len(second), a.ID
		}
	}
	if float64(most) <= coldRate*coldOverrun+coldTolerance {
		return ""
	}
	return fmt.Sprintf("%s received %d requests within %s before %s, with %g a second while it is cold",
		p.target.ID, most, coldWindow, last, coldRate)
}
