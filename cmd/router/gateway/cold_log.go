package gateway

import (
	"time"

	"vanillalug.example/cmd/router/meter"
)

// maxLoggedCold is how many targets that became cold or warm are logged one by one at a time.
const maxLoggedCold = 100

// logCold logs which targets became cold or warm, and counts the cold ones.
func (g *Gateway) logCold(now time.Time) {
	if g.loggedCold == nil {
		if !g.limits.AnyCold(now) {
			return
		}
		g.loggedCold = map[string]map[string]bool{}
	}
	byService := g.upstreams.Load().byService
	for service := range byService {
		if _, ok := g.coldService(service); ok && g.loggedCold[service] == nil {
			g.loggedCold[service] = map[string]bool{}
		}
	}
	for service := range g.loggedCold {
		g.logColdService(service, byService[service], now)
	}
}

func (g *Gateway) logColdService(service string, upstreams []*upstream, now time.Time) {
	before, after, changed := g.loggedCold[service], map[string]bool{}, 0
	for _, u := range upstreams {
		incarnation := u.target.Incarnation()
		remaining, source := g.limits.ColdFor(u.limitKey(), now)
		if remaining > 0 {
			after[incarnation] = true
		}
		if after[incarnation] == before[incarnation] {
			continue
		}
		changed++
		switch {
		case changed > maxLoggedCold:
		case remaining > 0:
			g.log.Info("target cold", "target", incarnation, "service", service, "for", remaining.String(), "source", string(source))
		default:
			g.log.Info("target warm", "target", incarnation, "service", service)
		}
	}
	if more := changed - maxLoggedCold; more > 0 {
		g.log.Info("more targets became cold or warm", "service", service, "targets", more)
	}
	g.loggedCold[service] = after
	meter.SetGauge("cold_targets", float64(len(after)), "service", service)
}
