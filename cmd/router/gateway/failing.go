package gateway

import (
	"time"

	"vanillalug.example/fitting"
)

// failingOf reports which targets of a service fail for many routers.
func (g *Gateway) failingOf(service string, keys []fitting.Key, now time.Time) []bool {
	return g.reports.Failing(keys, g.sendsTo(service, len(keys), now), now)
}

// sendsTo estimates how many requests all routers have sent to each target of a
// service in the time for which failures count.
func (g *Gateway) sendsTo(service string, targets int, now time.Time) float64 {
	own := float64(g.budget.Requests(service, now)) * fitting.ReportTTL.Seconds() / g.budget.Length().Seconds()
	return own * float64(g.routers()) / float64(max(targets, 1))
}

// noticeFailing logs which targets are left out on the word of peers from now
// on, and which are not any more.
func (g *Gateway) noticeFailing(now time.Time) {
	next := map[string]bool{}
	for service, posts := range g.targets.Load().byService {
		keys := make([]fitting.Key, len(posts))
		for i, p := range posts {
			keys[i] = p.key
		}
		for i, failing := range g.failingOf(service, keys, now) {
			lifetime := posts[i].target.Incarnation()
			if !failing {
				continue
			}
			next[lifetime] = true
			if !g.failing[lifetime] {
				g.log.Info("target fails for many routers", "target", lifetime, "service", service, "targets", len(posts))
			}
		}
	}
	for lifetime := range g.failing {
		if !next[lifetime] {
			g.log.Info("target fails no more", "target", lifetime)
		}
	}
	g.failing = next
}
