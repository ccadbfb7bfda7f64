package gateway

import (
	"time"

	"vanillalug.example/crew"
	"vanillalug.example/plan"
	"vanillalug.example/quota"
)

// presumeCold takes the targets that join the view for cold if nothing is known of them. The caller
// holds viewMu.
func (g *Gateway) presumeCold(effects []crew.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case crew.Left:
			if e.Target.StartMillis() == 0 {
				// Another run without a start time has the same incarnation.
				g.limits.ForgetCold(coldKey(e.Target))
			}
		case crew.Joined:
			if s, ok := g.coldService(e.Target.Service()); ok {
				g.learnCold(e.Target, s)
			}
		}
	}
}

// learnCold takes over what the entry of a target of a service with a cold start states, or takes the
// target for cold if nothing is known of it.
func (g *Gateway) learnCold(t crew.Target, s plan.Service) {
	g.observeColdState(t, s)
	g.limits.Presume(startsCold(t, s), g.clock.Now())
}

// presumeColdPlace takes all targets of a failure domain that is taken back after an evacuation for
// cold, until a later entry or response says otherwise. The caller doesn't hold viewMu.
func (g *Gateway) presumeColdPlace(place string, now time.Time) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	for _, t := range g.view.All() {
		if t.Place() != place {
			continue
		}
		if s, ok := g.coldService(t.Service()); ok {
			g.limits.PresumePlace(startsCold(t, s), now)
		}
	}
}

func startsCold(t crew.Target, s plan.Service) quota.ColdStatement {
	return quota.ColdStatement{Target: coldKey(t), Remaining: s.ColdTime(), Rate: s.ColdRate()}
}
