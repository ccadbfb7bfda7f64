package gateway

import (
	"net/http"
	"slices"
	"time"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/crew"
	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/plan"
	"vanillalug.example/platform"
	"vanillalug.example/quota"
)

const (
	// noLimitAge is the age of a statement about a limit in a message that is about a cold target only:
	// receivers ignore one so old.
	noLimitAge = time.Hour
	// listTime is the time after which a router that can't read the addresses of the others takes those
	// that it has heard of for all.
	listTime = 30 * time.Second
)

// heldPermit is a permit that an attempt has for its target.
type heldPermit struct {
	// cold says that the target was cold, so that the permit must be used at once or not at all.
	cold        bool
	usableUntil time.Time
}

// permitUnused means that a permit was too old when the connection was there, and nothing was sent.
type permitUnused struct{}

func (permitUnused) outcome() {}

// permitExpired reports whether the attempt has a permit for a cold target that is too old.
func (t *transaction) permitExpired(now time.Time) bool {
	return t.permit.cold && now.After(t.permit.usableUntil)
}

// keepUnused returns a new connection to the pool, as opening it took too long for the permit. The idle
// time of another one would be lost.
func (t *transaction) keepUnused(conn *channel.Conn) {
	if conn.Reused() {
		conn.Discard()
		return
	}
	conn.Release(0, t.g.clock.Now())
}

// handlePermitUnused lets the request ask for another permit.
func (t *transaction) handlePermitUnused(u *upstream) bool {
	meter.CountBy("permits", "service", t.service, "outcome", "unused")
	t.logAttempt("permit too old", nil)
	delete(t.tried, u.key)
	t.permitsDenied++
	if !t.canceledOrExpired() {
		return true
	}
	t.fail(&rejection{status: http.StatusServiceUnavailable, reason: "no permit in time", retryAfter: overloadRetryAfter})
	return false
}

func coldKey(t crew.Target) quota.TargetKey {
	return quota.TargetKey(fitting.KeyOf(t.Incarnation()))
}

// coldService returns the service of a target if the routing table gives it a cold start.
func (g *Gateway) coldService(name string) (plan.Service, bool) {
	active := g.table.Load()
	if active == nil {
		return plan.Service{}, false
	}
	s, ok := active.table.Service(name)
	if !ok || s.ColdTime() == 0 {
		return plan.Service{}, false
	}
	return s, true
}

// observeColdEntry records what an entry of the registry states of a cold target. It comes before the
// view is updated, so that no request finds the target warm.
func (g *Gateway) observeColdEntry(t crew.Target) {
	if s, ok := g.coldService(t.Service()); ok {
		g.observeColdState(t, s)
	}
}

func (g *Gateway) observeColdState(t crew.Target, s plan.Service) {
	remaining, known := t.ColdRemaining()
	if !known {
		return
	}
	statement := quota.ColdStatement{Target: coldKey(t), Remaining: remaining, Rate: s.ColdRate()}
	order := quota.EntryOrder{Sequence: t.Sequence(), Written: t.Written()}
	if g.limits.ObserveEntry(statement, order, g.clock.Now()) {
		g.peers.announce()
	}
}

// observeCold records what a response states of a cold target.
func (g *Gateway) observeCold(u *upstream, r platform.Response, now time.Time) {
	remaining, stated := r.Cold()
	if !stated {
		return
	}
	s, ok := g.coldService(u.target.Service())
	if !ok {
		return
	}
	if g.limits.ObserveCold(quota.ColdStatement{Target: u.limitKey(), Remaining: remaining, Rate: s.ColdRate()}, now) {
		g.peers.announce()
	}
}

// recordColdBeliefs records what a peer believes of the targets that it describes.
func (g *Gateway) recordColdBeliefs(reply *peer.GetBeliefsReply) {
	for _, t := range reply.Targets {
		g.recordColdBelief(t)
	}
	for _, c := range reply.Changes {
		if c.Target != nil {
			g.recordColdBelief(c.Target)
		}
	}
}

func (g *Gateway) recordColdBelief(b *peer.BelievedTarget) {
	s, ok := g.coldService(b.Service)
	if !ok || b.ColdMs == nil {
		return
	}
	g.limits.RecordBelief(quota.ColdStatement{
		Target: coldKey(targetFromProto(b)), Remaining: time.Duration(*b.ColdMs) * time.Millisecond, Rate: s.ColdRate(),
	}, g.clock.Now())
}

// addColdBelief adds to a target, for a peer, how much longer it is cold, if that was stated.
func (g *Gateway) addColdBelief(b *peer.BelievedTarget) {
	if b == nil {
		return
	}
	if remaining, known := g.limits.StatedCold(coldKey(targetFromProto(b)), g.clock.Now()); known {
		ms := uint32(remaining.Milliseconds())
		b.ColdMs = &ms
	}
}

// refreshCold applies a new routing table to what is known of cold targets: rates may differ, and
// services may have a cold start now, or none any more.
func (g *Gateway) refreshCold(table *plan.Table) {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	for _, t := range g.view.All() {
		s, ok := table.Service(t.Service())
		if !ok || s.ColdTime() == 0 {
			g.limits.ForgetCold(coldKey(t))
			continue
		}
		g.learnCold(t, s)
		g.limits.SetColdRate(coldKey(t), s.ColdRate())
	}
}

// limitMessage returns what is known of the limit of a target, and whether it is cold.
func (g *Gateway) limitMessage(target quota.TargetKey, now time.Time) *peer.TargetLimit {
	out := limitToProto(g.limits.Report(target, now))
	if r, known := g.limits.ColdReport(target, now); known {
		addColdReport(out, r)
	}
	return out
}

func addColdReport(to *peer.TargetLimit, r quota.ColdReport) {
	ago := uint32(r.Age.Milliseconds())
	to.ColdMs, to.ColdRequestsPerSecond, to.ColdAgoMs = uint32(r.Remaining.Milliseconds()), r.Rate, &ago
}

// coldLimitsToProto returns messages that are about cold targets only.
func coldLimitsToProto(reports []quota.ColdReport) []*peer.TargetLimit {
	out := make([]*peer.TargetLimit, len(reports))
	for i, r := range reports {
		out[i] = &peer.TargetLimit{Target: uint64(r.Target), AgoMs: uint32(noLimitAge.Milliseconds())}
		addColdReport(out[i], r)
	}
	return out
}

// recordColdReports records what a peer says of cold targets.
func (g *Gateway) recordColdReports(in []*peer.TargetLimit, now time.Time) {
	var reports []quota.ColdReport
	for _, l := range in {
		if l == nil || l.ColdAgoMs == nil {
			continue
		}
		reports = append(reports, quota.ColdReport{
			ColdStatement: quota.ColdStatement{
				Target: quota.TargetKey(l.Target), Remaining: time.Duration(l.ColdMs) * time.Millisecond, Rate: l.ColdRequestsPerSecond,
			},
			Age: time.Duration(*l.ColdAgoMs) * time.Millisecond,
		})
	}
	if len(reports) > 0 {
		g.limits.RecordColdFromPeer(reports, now)
	}
}

// tickColdDuty tells how many of the other routers this one hears. Before it has read who they are, it
// counts as one that hears nobody: after a restart of all routers each would issue a rate.
func (g *Gateway) tickColdDuty(now time.Time) {
	if !g.routersListed.Load() && now.Sub(g.startedAt) < listTime {
		g.coldDuty.Tick(0, 1, now)
		return
	}
	heard, known := g.peers.heard()
	g.coldDuty.Tick(heard+1, known+1, now)
}

// coldShare returns the part of the rate of a cold target that this router may issue; 0 if it may not.
func (g *Gateway) coldShare(target quota.TargetKey, now time.Time) float64 {
	if g.draining.Load() {
		return 0
	}
	settle := quota.SettleTime(g.peers.newsTime())
	return g.coldDuty.Share(target, quota.Standing{Name: g.cfg.Name, Heard: g.peers.issuersWithin(settle), SettleTime: settle}, now)
}

// pausedReason says why no target takes the request for now.
func pausedReason(candidates []fitting.Candidate) string {
	if slices.ContainsFunc(candidates, func(c fitting.Candidate) bool { return c.ColdFor > 0 && c.PausedFor <= 0 }) {
		return "targets are cold"
	}
	return "targets want no requests"
}

// hasLimit reports whether the target names a limit or is cold, so that queries are left out.
func (g *Gateway) hasLimit(u *upstream) bool {
	limit := g.limits.LimitAt(u.limitKey(), g.clock.Now())
	return limit.Limited() || limit.Cold()
}

// warmFirst returns the warm targets of a service, or all if none is.
func (g *Gateway) warmFirst(service string, now time.Time) []*upstream {
	all := g.upstreams.Load().byService[service]
	if !g.limits.AnyCold(now) {
		return all
	}
	var warm []*upstream
	for _, u := range all {
		if !g.limits.LimitAt(u.limitKey(), now).Cold() {
			warm = append(warm, u)
		}
	}
	if len(warm) == 0 {
		return all
	}
	return warm
}

// returnAfter returns after what time a caller may return that got no permit for the target.
func (g *Gateway) returnAfter(u *upstream, now time.Time) time.Duration {
	remaining, _ := g.limits.ColdFor(u.limitKey(), now)
	return max(u.permitIn(now), remaining, 0)
}
