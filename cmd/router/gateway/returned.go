package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/crew"
	"vanillalug.example/platform"
)

const (
	// healthTimeout is how long a target may take to respond to a health check.
	healthTimeout = time.Second
	// healthInterval is the time between two checks of a target, and maxHealthChecks their number:
	// after that the view takes the target for one that is back.
	healthInterval  = 500 * time.Millisecond
	maxHealthChecks = 20
)

// verifyReturned asks the targets whose entries are back after their removal whether they serve.
func (g *Gateway) verifyReturned(effects []crew.Effect) {
	for _, e := range effects {
		if returned, ok := e.(crew.Returned); ok {
			go g.verify(returned.Target)
		}
	}
}

// verify checks the health of a target until it says that it serves or leaves, or until that no longer
// matters.
func (g *Gateway) verify(t crew.Target) {
	for range maxHealthChecks {
		if !g.awaitsVerification(t) || g.stopping.ended.Err() != nil {
			return
		}
		if g.evacuations.has(t.Place()) {
			sleep(g.stopping.ended, healthInterval)
			continue
		}
		response, err := g.checkHealth(t)
		meter.CountBy("health_checks", "service", t.Service(), "outcome", healthOutcome(response, err))
		switch {
		case err != nil:
			g.log.Info("a target whose entry is back gave no answer", "target", t.Incarnation(), "service", t.Service(), "error", err)
		case response.Leaving():
			g.log.Info("target states that it is leaving", "target", t.Incarnation(), "service", t.Service())
			g.updateView(crew.Leaving{At: g.clock.Now(), Target: t})
			return
		case response.Healthy():
			g.log.Info("a target whose entry is back serves", "target", t.Incarnation(), "service", t.Service())
			g.updateView(crew.Verified{Target: t})
			return
		}
		sleep(g.stopping.ended, healthInterval/2+rand.N(healthInterval))
	}
}

// healthOutcome names the outcome of a health check for the metrics.
func healthOutcome(r platform.Response, err error) string {
	switch {
	case err != nil:
		return "no answer"
	case r.Leaving():
		return "leaving"
	case r.Healthy():
		return "serves"
	}
	return "unhealthy"
}

func (g *Gateway) awaitsVerification(t crew.Target) bool {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	return g.view.AwaitsVerification(t)
}

// checkHealth returns the head of a target's response to a health check.
func (g *Gateway) checkHealth(t crew.Target) (platform.Response, error) {
	path := g.healthPath(t.Service())
	if path == "" {
		return platform.Response{}, errors.New("Gateway.checkHealth: the service has no health check")
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	conn, err := channel.NewPool(t.Address(), g.dialTarget).Get(ctx, g.clock.Now(), channel.Limits{})
	if err != nil {
		return platform.Response{}, fmt.Errorf("Gateway.checkHealth: %w", err)
	}
	defer conn.Discard()
	if err := conn.SetDeadline(time.Now().Add(healthTimeout)); err != nil {
		return platform.Response{}, fmt.Errorf("Gateway.checkHealth: %w", err)
	}
	if _, err := conn.Write(platform.HealthRequest(t.Address(), path, t.ID())); err != nil {
		return platform.Response{}, fmt.Errorf("Gateway.checkHealth: %w", err)
	}
	response, err := conn.ReadResponse(http.MethodGet, nil)
	if err != nil {
		return platform.Response{}, fmt.Errorf("Gateway.checkHealth: %w", err)
	}
	_ = response.Body.Close()
	out := platform.ReadResponse(response)
	if !out.From(t.ID()) {
		return platform.Response{}, fmt.Errorf("Gateway.checkHealth: status %d, not from the target", out.Status())
	}
	return out, nil
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
