package gateway

import (
	"math/rand/v2"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/cmd/router/probation"
	"vanillalug.example/crew"
)

const (
	// healthInterval is the time between two checks of a target, and maxHealthChecks their number:
	// after that the view takes the target for one that is back.
	healthInterval  = 500 * time.Millisecond
	maxHealthChecks = 20
)

// verifyReturned asks the targets that have returned whether they serve.
func (g *Gateway) verifyReturned(effects []crew.Effect) {
	for _, e := range effects {
		if returned, ok := e.(crew.Returned); ok {
			go g.verify(returned)
		}
	}
}

// verify asks a target until it says that it serves or leaves, or until that no longer
// matters.
func (g *Gateway) verify(returned crew.Returned) {
	t := returned.Target
	for range maxHealthChecks {
		if !g.awaitsVerification(t) || g.stopping.ended.Err() != nil {
			return
		}
		if !g.evacuations.has(t.Place()) && g.ask(returned) {
			return
		}
		sleep(g.stopping.ended, healthInterval/2+rand.N(healthInterval))
	}
}

// ask asks a target whether it serves, and reports whether that is known now.
func (g *Gateway) ask(returned crew.Returned) bool {
	t := returned.Target
	answer := probation.NewProber(g.dialTarget).Ask(g.stopping.ended,
		probation.Question{Target: t, HealthPath: g.healthPath(t.Service()), Run: returned.Earlier})
	meter.CountBy("health_checks", "service", t.Service(), "outcome", answer.String())
	log := g.log.With("target", t.Incarnation(), "service", t.Service())
	switch a := answer.(type) {
	case probation.Serves:
		log.Info("a target that has returned serves")
		g.updateView(crew.Verified{Target: t})
		return true
	case probation.Leaves:
		log.Info("target states that it is leaving")
		g.updateView(crew.Leaving{At: g.clock.Now(), Target: t})
		return true
	case probation.OtherRun:
		log.Info("a target that has returned serves as another run", "start", a.StartMillis)
	case probation.Silent:
		log.Info("a target that has returned gave no answer", "error", a.Cause)
	case probation.Unhealthy:
	}
	return false
}

func (g *Gateway) awaitsVerification(t crew.Target) bool {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	return g.view.AwaitsVerification(t)
}

// healthPath returns the path of a service's health checks, "" if it has none.
func (g *Gateway) healthPath(service string) string {
	active := g.table.Load()
	if active == nil {
		return ""
	}
	s, ok := active.table.Service(service)
	if !ok {
		return ""
	}
	return s.HealthPath()
}
