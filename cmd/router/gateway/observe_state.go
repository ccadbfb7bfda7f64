package gateway

import (
	"net/http"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/crew"
	"vanillalug.example/platform"
)

// observeState handles what a response states of its target: that it is leaving, that it
// wants no requests for a time, or how many it takes. request is the id of the request,
// or "".
func (g *Gateway) observeState(u *upstream, r platform.Response, request string) {
	if r.Leaving() {
		g.withdrawLeaving(u, request)
	}
	now := g.clock.Now()
	g.observeLimit(u, r, request, now)
	g.observeCold(u, r, now)
	g.observePause(u, r, request, now)
}

// observeLimit records the limit that a target names, or that it names none any more.
func (g *Gateway) observeLimit(u *upstream, r platform.Response, request string, now time.Time) {
	limit, stated, err := r.RateLimit()
	if err != nil {
		g.log.Warn("ignored the limit that a target named", "request", request, "target", u.target.Incarnation(), "error", err)
	}
	if !stated {
		return
	}
	brittle, maxRejected, err := r.Brittle()
	if err != nil {
		g.log.Warn("ignored what a target stated of being brittle", "request", request, "target", u.target.Incarnation(), "error", err)
	}
	if brittle {
		limit = limit.AsBrittle()
	}
	if limit.Limited() {
		meter.CountBy("responses_with_limit", "service", u.target.Service())
	}
	before := g.limits.Observe(u.limitKey(), limit, now)
	if brittle != before.Brittle() {
		g.log.Info("target changes whether it is brittle", "request", request, "target", u.target.Incarnation(),
			"service", u.target.Service(), "brittle", brittle, "max-rejected-per-second", maxRejected)
		g.peers.announce()
	}
	switch {
	case limit.Limited() && !before.Limited():
		g.log.Info("target names a limit", "request", request, "target", u.target.Incarnation(),
			"service", u.target.Service(), "requests-per-second", limit.Rate())
	case !limit.Limited() && before.Limited():
		g.log.Info("target names no limit any more", "request", request, "target", u.target.Incarnation(),
			"service", u.target.Service(), "before", before.Rate())
	}
}

// observePause records that a target wants no requests for a time.
func (g *Gateway) observePause(u *upstream, r platform.Response, request string, now time.Time) {
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
	g.updateView(crew.Leaving{At: g.clock.Now(), Target: u.target})
}

// leavingTarget returns the target that stated in a response that a peer relayed that it is
// leaving, "" if none did, and takes the peer's header out of it.
func leavingTarget(h http.Header) (incarnation string) {
	incarnation = h.Get(leavingTargetHeader)
	h.Del(leavingTargetHeader)
	return incarnation
}

// withdrawRelayed ends the use of a target that stated in a response that a peer relayed that it
// is leaving: callers have heard it from this router.
func (g *Gateway) withdrawRelayed(incarnation, request string) {
	if incarnation == "" {
		return
	}
	if u := g.upstreams.Load().byIncarnation[incarnation]; u != nil {
		g.withdrawLeaving(u, request)
		return
	}
	t, err := crew.ParseIncarnation(incarnation)
	if err != nil {
		g.log.Warn("ignored which target leaves, as a peer states it", "request", request, "error", err)
		return
	}
	g.updateView(crew.Leaving{At: g.clock.Now(), Target: t})
}
