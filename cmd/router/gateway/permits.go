package gateway

import (
	"context"
	"fmt"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/quota"
	"vanillalug.example/reception"
)

const (
	// permitTimeout is how long the router that issues a permit may take to reply.
	permitTimeout = 250 * time.Millisecond
	// noIssuerPause is the time until it is worth to ask again after the router that
	// issues a target's permits did not reply, or said that another one does.
	noIssuerPause = 300 * time.Millisecond
	// brittlePause is the time without requests from this router to a brittle target that has
	// rejected one although it had a place.
	brittlePause = 300 * time.Millisecond
	// maxPermitsDenied is the number of targets whose limits are tried for one request
	// before it waits for the one of them that has a permit soonest.
	maxPermitsDenied = 3
)

// heldPlace is a place at a brittle target that a request has while it is there.
type heldPlace struct {
	target quota.TargetKey
	id     quota.PlaceID
	// issuer is the address of the router that issued it, or "" for this one.
	issuer string
	// rejected says that the target had no room for the request.
	rejected bool
}

// takePermit returns true if the request may be sent to the target: it states no limit, or
// the router that issues its permits has issued one. It waits until the permit is valid.
func (t *transaction) takePermit(ctx context.Context, u *upstream, maxWait time.Duration) bool {
	g := t.g
	t.permit = heldPermit{}
	asked := g.clock.Now()
	limit := g.limits.LimitAt(u.limitKey(), asked)
	if !limit.NeedsPermit() {
		return true
	}
	permit, issuer := t.requestPermit(ctx, u, maxWait)
	t.choice += fmt.Sprintf(" limit=%.2f cold=%.2f brittle=%t issuer=%s permit=%t wait=%s",
		limit.Rate(), limit.ColdRate(), limit.Brittle(), issuer, permit.Granted, permit.Wait)
	now := g.clock.Now()
	if !permit.Granted {
		t.permitsDenied++
		u.noPermitUntil(now.Add(permit.Wait))
		meter.CountBy("permits", "service", t.service, "outcome", "denied")
		return false
	}
	meter.CountBy("permits", "service", t.service, "outcome", "granted")
	t.permit = heldPermit{cold: limit.Cold(), usableUntil: asked.Add(permit.Wait + quota.MaxColdPermitAge)}
	sleep(ctx, permit.Wait)
	if g.mayReach(u) && (permit.Wait <= 0 || g.upstreams.Load().byIncarnation[u.target.Incarnation()] == u) {
		return true
	}
	t.releasePlace()
	return false
}

// permitIn returns the time until it is worth to ask for a permit for the target. After
// some denials the request doesn't ask for those of further targets.
func (t *transaction) permitIn(u *upstream, now time.Time) time.Duration {
	wait := u.permitIn(now)
	if t.permitsDenied >= maxPermitsDenied {
		return max(wait, time.Millisecond)
	}
	return wait
}

// permitIssuer returns the router that issues the permits of a target, and its address:
// the one that rendezvous hashing selects of those that were heard of lately.
func (g *Gateway) permitIssuer(target quota.TargetKey) (name, address string) {
	return g.bestRouter(uint64(target))
}

// requestPermit asks for a permit for the request at a target, and returns the router that
// issues it. If the target is brittle, the request has a place there afterwards.
func (t *transaction) requestPermit(ctx context.Context, u *upstream, maxWait time.Duration) (permit quota.Permit, issuer string) {
	g := t.g
	target := u.limitKey()
	now := g.clock.Now()
	place := quota.PlaceRequest{Slots: t.slotsOf(u), InFlight: g.inFlightAt(target), Lease: t.deadline.Sub(now)}
	issuer, address := g.permitIssuer(target)
	if issuer == g.cfg.Name {
		permit, id := g.issuePermit(target, place, maxWait)
		t.place = heldPlace{target: target, id: id}
		return permit, issuer
	}
	needsCold := g.limits.LimitAt(target, now).Cold()
	ctx, cancel := reception.WithIdleTimeout(ctx, permitTimeout, permitTimeout)
	defer cancel()
	client := peer.NewBeliefsProtobufClient("http://"+address, g.peerClient)
	reply, err := client.TakePermit(ctx, &peer.TakePermitRequest{
		From: g.cfg.Name, Target: uint64(target), Limit: g.limitMessage(target, now),
		MaxWaitMs: uint32(max(maxWait, 0).Milliseconds()),
		Slots:     uint32(max(place.Slots, 0)), LeaseMs: uint32(max(place.Lease, 0).Milliseconds()),
	})
	if err != nil {
		g.log.Info("no permit, as its issuer did not reply", "target", u.target.Incarnation(), "issuer", issuer, "error", err)
		return quota.Permit{Wait: noIssuerPause}, issuer
	}
	g.limits.RecordFromPeer(limitsFromProto([]*peer.TargetLimit{reply.Limit}), g.clock.Now())
	g.recordColdReports([]*peer.TargetLimit{reply.Limit}, g.clock.Now())
	if needsCold && (reply.Limit == nil || reply.Limit.ColdAgoMs == nil) {
		// A build that doesn't know cold targets grants without counting them.
		return quota.Permit{Wait: noIssuerPause}, issuer
	}
	t.place = heldPlace{target: target, id: quota.PlaceID(reply.Place), issuer: address}
	return quota.Permit{Granted: reply.Granted, Wait: time.Duration(reply.WaitMs) * time.Millisecond}, issuer
}

// slotsOf returns how many requests a target runs at once.
func (t *transaction) slotsOf(u *upstream) int {
	if s, ok := t.table.Service(t.service); ok && s.Engine() != nil {
		return s.Engine().Slots()
	}
	return u.target.Slots()
}

// inFlightAt returns the requests of all routers at a target, as far as is known.
func (g *Gateway) inFlightAt(target quota.TargetKey) int {
	return g.loads.Loads([]fitting.Key{fitting.Key(target)}, g.peers.aliveSince())[0].Requests()
}

// issuePermit issues a permit, with a place if the target is brittle.
func (g *Gateway) issuePermit(target quota.TargetKey, place quota.PlaceRequest, maxWait time.Duration) (quota.Permit, quota.PlaceID) {
	if g.isEvacuated(fitting.Key(target)) {
		return quota.Permit{Wait: noIssuerPause}, 0
	}
	now := g.clock.Now()
	limit := g.limits.LimitAt(target, now)
	if limit.Cold() {
		share := g.coldShare(target, now)
		if share == 0 {
			return quota.Permit{Wait: noIssuerPause}, 0
		}
		limit = limit.AsCold(share * limit.ColdRate())
	}
	id := quota.PlaceID(0)
	if limit.Brittle() {
		var wait time.Duration
		if id, wait = g.permits.TakePlace(target, place, now); id == 0 {
			return quota.Permit{Wait: wait}, 0
		}
	}
	permit := g.permits.Take(target, limit, maxWait, now)
	if !permit.Granted && id != 0 {
		g.permits.ReleasePlace(target, id, false, now)
		id = 0
	}
	return permit, id
}

// releasePlace frees the place that the request has at a brittle target, if any.
func (t *transaction) releasePlace() {
	held := t.place
	t.place = heldPlace{}
	if held.id == 0 {
		return
	}
	if held.issuer == "" {
		t.g.permits.ReleasePlace(held.target, held.id, held.rejected, t.g.clock.Now())
		return
	}
	go t.g.releaseAt(held)
}

// releaseAt tells the router that issued a place that it is free. If that fails, the place is free
// when its lease ends.
func (g *Gateway) releaseAt(held heldPlace) {
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	client := peer.NewBeliefsProtobufClient("http://"+held.issuer, g.peerClient)
	r := &peer.ReleasePlaceRequest{
		From: g.cfg.Name, Target: uint64(held.target), Place: uint64(held.id), Rejected: held.rejected,
	}
	if _, err := client.ReleasePlace(ctx, r); err != nil {
		g.log.Info("cannot release a place", "issuer", held.issuer, "error", err)
	}
}

// ReleasePlace implements peer.Beliefs.
func (g *Gateway) ReleasePlace(_ context.Context, r *peer.ReleasePlaceRequest) (*peer.ReleasePlaceReply, error) {
	g.permits.ReleasePlace(quota.TargetKey(r.Target), quota.PlaceID(r.Place), r.Rejected, g.clock.Now())
	return &peer.ReleasePlaceReply{}, nil
}

// TakePermit implements peer.Beliefs: it issues a permit to a peer. If by what this router
// knows another one issues those of the target, it denies it, so that two never do.
func (g *Gateway) TakePermit(_ context.Context, r *peer.TakePermitRequest) (*peer.TakePermitReply, error) {
	now := g.clock.Now()
	target := quota.TargetKey(r.Target)
	g.limits.RecordFromPeer(limitsFromProto([]*peer.TargetLimit{r.Limit}), now)
	g.recordColdReports([]*peer.TargetLimit{r.Limit}, now)
	permit, place := quota.Permit{Wait: noIssuerPause}, quota.PlaceID(0)
	if issuer, _ := g.permitIssuer(target); issuer == g.cfg.Name {
		permit, place = g.issuePermit(target, quota.PlaceRequest{
			Slots: int(r.Slots), InFlight: g.inFlightAt(target), Lease: time.Duration(r.LeaseMs) * time.Millisecond,
		}, time.Duration(r.MaxWaitMs)*time.Millisecond)
	} else {
		g.log.Info("denied a permit that another router issues", "peer", r.From, "issuer", issuer)
	}
	return &peer.TakePermitReply{
		Granted: permit.Granted, WaitMs: uint32(permit.Wait.Round(time.Millisecond).Milliseconds()),
		Limit: g.limitMessage(target, now), Place: uint64(place),
	}, nil
}

// forgetLimits forgets the limits of all targets but those that are kept, and permits that
// nobody asks for.
func (g *Gateway) forgetLimits(kept map[quota.TargetKey]bool, now time.Time) {
	g.limits.Retain(func(target quota.TargetKey) bool { return kept[target] })
	g.limits.RetainCold(func(target quota.TargetKey) bool { return kept[target] }, now)
	g.permits.Expire(now)
}

func limitToProto(r quota.Report) *peer.TargetLimit {
	return &peer.TargetLimit{
		Target: uint64(r.Target), Limited: r.Limit.Limited(), RequestsPerSecond: r.Limit.Rate(),
		AgoMs: uint32(r.Age.Milliseconds()), Brittle: r.Limit.Brittle(),
	}
}

func limitsToProto(reports []quota.Report) []*peer.TargetLimit {
	out := make([]*peer.TargetLimit, len(reports))
	for i, r := range reports {
		out[i] = limitToProto(r)
	}
	return out
}

func limitsFromProto(in []*peer.TargetLimit) []quota.Report {
	out := make([]quota.Report, 0, len(in))
	for _, l := range in {
		if l == nil {
			continue
		}
		limit := quota.Limit{}
		if l.Limited {
			limit = quota.NewLimit(l.RequestsPerSecond)
		}
		if l.Brittle {
			limit = limit.AsBrittle()
		}
		out = append(out, quota.Report{Target: quota.TargetKey(l.Target), Limit: limit, Age: time.Duration(l.AgoMs) * time.Millisecond})
	}
	return out
}
