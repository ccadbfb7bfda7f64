package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"vanillalug.example/capacity"
	"vanillalug.example/fitting"
)

// selectUpstream selects the target of the next attempt, or returns a rejection. If the
// target names a limit, the request has a permit when it returns.
func (t *transaction) selectUpstream(ctx context.Context) (*upstream, *rejection) {
	for {
		u, maxWait, rejected := t.chooseUpstream()
		if rejected != nil {
			return nil, rejected
		}
		if t.takePermit(ctx, u, maxWait) {
			return u, nil
		}
		if t.permitsDenied > maxPermitsDenied {
			wait := fitting.AfterPause(t.g.returnAfter(u, t.g.clock.Now()), t.g.choiceSeed.Add(1))
			return nil, &rejection{status: http.StatusServiceUnavailable, reason: "targets are at their limits", retryAfter: wait}
		}
	}
}

// chooseUpstream selects the target of the next attempt, and how long the request may
// wait for a permit, or returns a rejection.
func (t *transaction) chooseUpstream() (u *upstream, maxWait time.Duration, rejected *rejection) {
	now, random := t.g.clock.Now(), t.g.choiceSeed.Add(1)
	if rejected := t.rejectUnservable(random, now); rejected != nil {
		return nil, 0, rejected
	}
	t.g.checkRollouts(now)
	in := t.choiceInput(random, now)
	decision := fitting.Choose(in.request, in.candidates)
	if rejected := t.rejectionOf(decision, in); rejected != nil {
		if full, ok := decision.(fitting.Overloaded); ok {
			t.recordRefusal(full.Shortage, now)
		}
		return nil, 0, rejected
	}
	if rejected := t.beginTrial(now); rejected != nil {
		return nil, 0, rejected
	}
	chosen := decision.(fitting.Chosen)
	t.choice = describeChoice(in.candidates, chosen.Index)
	t.copyFrom, t.wasCached = "", in.candidates[chosen.Index].Cached
	t.room = newNeededRoom(in.request, in.candidates[chosen.Index])
	if chosen.Source != fitting.NoSource {
		source := in.candidates[chosen.Source].Target
		t.copyFrom = source.Address()
		t.choice += " source=" + source.Incarnation()
	}
	return in.upstreams[chosen.Index], chosen.MaxWait, nil
}

// choiceInput is by what the target of the next attempt is chosen.
type choiceInput struct {
	upstreams []*upstream
	// candidates are the upstreams in their order, and after them the targets that are only copied from.
	candidates []fitting.Candidate
	request    fitting.Request
}

// choiceInput returns by what the target of the next attempt is chosen. It changes nothing, as
// explanations use it too.
func (t *transaction) choiceInput(random uint64, now time.Time) choiceInput {
	upstreams := t.mayBegin(t.compatible(t.g.upstreams.Load().byService[t.service]), now)
	return choiceInput{
		upstreams:  upstreams,
		candidates: append(t.candidates(upstreams, now), t.copySourcesOf(t.service, now)...),
		request:    t.fittingRequest(random, now),
	}
}

// rejectUnservable returns a rejection if no target may get the request, whatever their load, or nil.
// It changes nothing but the transaction.
func (t *transaction) rejectUnservable(random uint64, now time.Time) *rejection {
	if rejected := t.rejectDefect(random, now); rejected != nil {
		return rejected
	}
	return t.rejectEvacuated(random)
}

// rejectionOf returns the rejection that a decision means, or nil if a target was chosen. It changes
// nothing but the transaction.
func (t *transaction) rejectionOf(decision fitting.Decision, in choiceInput) *rejection {
	if t.origin != nil && len(in.upstreams) == 0 {
		return streamRejection("no target of the software version at which the stream began")
	}
	switch d := decision.(type) {
	case fitting.Chosen:
		return nil
	case fitting.Paused:
		return &rejection{status: http.StatusServiceUnavailable, reason: pausedReason(in.candidates), retryAfter: d.RetryAfter}
	case fitting.Overloaded:
		req := in.request
		t.detail = fmt.Sprintf("shortage=%s overuse=%.1f tokens=%d pace=%s left=%s goal=%s crowded=%s total=%d of=%d unread=%d prefill=%s",
			d.Shortage, req.Overuse, req.Work.KVTokens(false), req.ServiceTime, req.TimeLeft, req.Objective, req.OverloadedFor,
			totalRequests(in.candidates), len(in.candidates), leastUnread(in.candidates), req.PrefillTime)
		return &rejection{status: http.StatusServiceUnavailable, reason: "service is full", retryAfter: d.RetryAfter}
	}
	return &rejection{status: http.StatusServiceUnavailable, reason: "no target", retryAfter: overloadRetryAfter}
}

// candidates returns the upstreams with their loads, cache state and health.
func (t *transaction) candidates(upstreams []*upstream, now time.Time) []fitting.Candidate {
	keys := make([]fitting.Key, len(upstreams))
	for i, u := range upstreams {
		keys[i] = u.key
	}
	loads := t.g.loads.Loads(keys, t.g.peers.aliveSince())
	own := t.g.loads.OwnRequests(keys)
	cached := make([]bool, len(upstreams))
	if prompt, ok := t.req.Work().PromptKey(); ok {
		cached = t.g.cacheIndex.Cached(prompt, keys, now)
	}
	failing := t.g.failingTargets(t.service, keys, now)
	estimates := make([]capacity.Estimate, len(keys))
	capacity.Estimates(t.g.capacity, keys, now, estimates)
	out := make([]fitting.Candidate, len(upstreams))
	for i, u := range upstreams {
		limit := t.g.limits.LimitAt(u.limitKey(), now)
		out[i] = fitting.Candidate{
			Target: u.target, Load: loads[i], OwnRequests: own[i], Cached: cached[i], Estimate: estimates[i],
			Suspect: u.suspect(now) || failing[i], Tried: t.tried[u.key], PausedFor: u.pausedFor(now),
			Limited: limit.NeedsPermit(),
		}
		if limit.Cold() {
			out[i].ColdFor, _ = t.g.limits.ColdFor(u.limitKey(), now)
		}
		if out[i].Limited {
			out[i].PermitIn = t.permitIn(u, now)
		}
	}
	return out
}

// fittingRequest returns the properties of the request that decide the choice.
func (t *transaction) fittingRequest(random uint64, now time.Time) fitting.Request {
	req := fitting.Request{
		Work: t.req.Work(), Place: t.g.cfg.Place, ServiceTime: t.g.serviceTimes.Mean(t.service),
		TimeLeft: t.deadline.Sub(now), Objective: t.route.Objective(), OverloadedFor: t.g.overloads.Duration(t.service, now),
		Priority: t.priority, Random: random,
	}
	if s, ok := t.table.Service(t.service); ok && s.Engine() != nil {
		req.Slots = s.Engine().Slots()
		req.CopyRate = s.Engine().CopyRate()
		req.KVCapacity = s.Engine().KVCapacity()
	}
	req.PrefillTime = t.g.prefillTimes.PerThousand(t.service)
	req.Overuse = t.overuse(now)
	return req
}

// describeChoice describes the chosen candidate for the logs.
func describeChoice(candidates []fitting.Candidate, chosen int) string {
	suspects := 0
	for _, c := range candidates {
		if c.Suspect {
			suspects++
		}
	}
	c := candidates[chosen]
	return fmt.Sprintf("held=%t load=%d unread=%d of=%d total=%d suspects=%d",
		c.Cached, c.Load.Requests(), c.Load.PrefillTokens(), len(candidates), totalRequests(candidates), suspects)
}

// leastUnread returns the smallest number of prompt tokens that a candidate has yet to read.
func leastUnread(candidates []fitting.Candidate) int {
	if len(candidates) == 0 {
		return 0
	}
	least := candidates[0].Load.PrefillTokens()
	for _, c := range candidates[1:] {
		least = min(least, c.Load.PrefillTokens())
	}
	return least
}

// totalRequests returns the number of requests at all candidates.
func totalRequests(candidates []fitting.Candidate) int {
	n := 0
	for _, c := range candidates {
		n += c.Load.Requests()
	}
	return n
}
