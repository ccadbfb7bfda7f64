package gateway

import (
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/crew"
	"vanillalug.example/platform"
)

// observeState handles what a response states of its target: that it is leaving, or
// that it wants no requests for a time. request is the id of the request, or "".
func (g *Gateway) observeState(u *upstream, r platform.Response, request string) {
	if r.Leaving() {
		g.withdrawLeaving(u, request)
	}
	now := g.clock.Now()
	pause, err := r.Pause(now)
	if err != nil {
		g.log.Warn("ignored the pause that a target asked for", "request", request, "target", u.target.Incarnation(), "error", err)
		return
	}
	if pause <= 0 {
		return
	}
	meter.CountBy("target_pauses", "service", u.target.Service())
	if u.pausedFor(now) <= 0 {
		g.log.Info("target wants no requests", "request", request, "target", u.target.Incarnation(),
			"service", u.target.Service(), "for", pause.String())
	}
	u.pause(now.Add(pause))
}

// withdrawLeaving ends the use of a target that stated that it is leaving. The view
// logs it, the first time.
func (g *Gateway) withdrawLeaving(u *upstream, request string) {
	if !u.leaving.CompareAndSwap(false, true) {
		return
	}
	meter.CountBy("targets_leaving", "service", u.target.Service())
	g.log.Info("target states that it is leaving", "request", request, "target", u.target.Incarnation(), "service", u.target.Service())
	g.updateView(crew.Leaving{Target: u.target})
}
