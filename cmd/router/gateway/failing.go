package gateway

import (
	"time"

	"vanillalug.example/fitting"
)

// failingTargets reports for each target of a service whether it fails for many
// routers.
func (g *Gateway) failingTargets(service string, keys []fitting.Key, now time.Time) []bool {
	return g.failureReports.Failing(keys, g.attemptsPerTarget(service, len(keys), now), now)
}

// attemptsPerTarget estimates how many requests all routers have sent to each
// target of a service in the time for which failures count.
func (g *Gateway) attemptsPerTarget(service string, targets int, now time.Time) float64 {
	own := float64(g.retryBudget.Requests(service, now)) * fitting.ReportTTL.Seconds() / g.retryBudget.Length().Seconds()
	return own * float64(g.routerCount()) / float64(max(targets, 1))
}

// logFailingTargets logs the targets that start or cease to be excluded because
// they fail for many routers.
func (g *Gateway) logFailingTargets(now time.Time) {
	next := map[string]bool{}
	for service, upstreams := range g.upstreams.Load().byService {
		keys := make([]fitting.Key, len(upstreams))
		for i, u := range upstreams {
			keys[i] = u.key
		}
		for i, failing := range g.failingTargets(service, keys, now) {
			incarnation := upstreams[i].target.Incarnation()
			if !failing {
				continue
			}
			next[incarnation] = true
			if !g.failing[incarnation] {
				g.log.Info("target fails for many routers", "target", incarnation, "service", service, "targets", len(upstreams))
			}
		}
	}
	for incarnation := range g.failing {
		if !next[incarnation] {
			g.log.Info("target fails no more", "target", incarnation)
		}
	}
	g.failing = next
}
