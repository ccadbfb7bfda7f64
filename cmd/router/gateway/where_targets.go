package gateway

import (
	"cmp"
	"slices"
	"time"

	"vanillalug.example/capacity"
	"vanillalug.example/crew"
	"vanillalug.example/fitting"
	"vanillalug.example/quota"
	"vanillalug.example/where"
)

// maxListedTargets bounds the targets in an answer. It is more than a service is to have.
const maxListedTargets = 1000

// addTargets adds the candidates, and the targets of the service that are none.
func (x *explanation) addTargets(out *where.Answer) {
	listed := map[string]bool{}
	failing := x.failing()
	for i := range x.input.candidates {
		t := x.target(i)
		t.FailsForMany = i < len(failing) && failing[i]
		t.Chosen = out.Decision.Outcome == where.ToTarget && t.Target == out.Decision.Target
		listed[t.Target] = true
		out.Targets = append(out.Targets, t)
	}
	for _, l := range x.leftOut() {
		if !listed[l.Target] {
			out.LeftOut = append(out.LeftOut, l)
		}
	}
	candidates, left := min(len(out.Targets), maxListedTargets), min(len(out.LeftOut), maxListedTargets)
	out.Unlisted = len(out.Targets) - candidates + len(out.LeftOut) - left
	out.Targets, out.LeftOut = out.Targets[:candidates], out.LeftOut[:left]
}

// failing reports for each upstream whether many routers report failures.
func (x *explanation) failing() []bool {
	keys := make([]fitting.Key, len(x.input.upstreams))
	for i, u := range x.input.upstreams {
		keys[i] = u.key
	}
	return x.g.failingTargets(x.service, keys, x.now)
}

// target returns a candidate with what counted for and against it.
func (x *explanation) target(i int) where.Target {
	c, why := &x.input.candidates[i], x.fit.Considerations[i]
	out := where.Target{
		Target: c.Target.Incarnation(), Address: c.Target.Address(), Place: c.Target.Place(), Software: c.Target.SoftwareVersion(),
		Excluded: why.Excluded.String(), Slots: c.Target.Slots(), Requests: c.Load.Requests(), OwnRequests: c.OwnRequests,
		PrefillTokens: c.Load.PrefillTokens(), KVTokens: c.Load.KVTokens(), Cached: c.Cached, Suspect: c.Suspect,
		PausedMS: ceilMilliseconds(c.PausedFor), Estimate: x.estimate(c),
		SlotWaitMS: milliseconds(why.SlotWait), PrefillWaitMS: milliseconds(why.PrefillWait), LackingTokens: why.LackingTokens,
		Probability: why.Probability, Drawn: why.Drawn, CostMS: milliseconds(why.Cost),
	}
	if x.input.request.Slots > 0 {
		out.Slots = x.input.request.Slots
	}
	if c.Limited {
		out.Permit = x.permitFor(x.input.upstreams[i], c)
	}
	return out
}

// estimate returns what is expected of a candidate, or nil if nothing was observed.
func (x *explanation) estimate(c *fitting.Candidate) *where.Estimate {
	if c.Estimate == (capacity.Estimate{}) {
		return nil
	}
	tokens := x.req.Work().PromptTokens()
	if c.Cached {
		tokens -= x.req.Work().ReusableTokens()
	}
	predicted := c.Estimate.Predict(c.Load.Requests(), c.Load.PrefillTokens()+max(tokens, 0))
	out := &where.Estimate{
		Slowness: c.Estimate.Slowness(), ServedMS: milliseconds(c.Estimate.Served()),
		FirstEventMS: milliseconds(predicted.FirstEvent), PauseMS: milliseconds(predicted.Pause),
		NoRoom: !c.Estimate.HasRoom(c.Load.Requests()),
	}
	if age, known := x.g.capacity.Age(capacity.TargetKey(fitting.KeyOf(c.Target.Incarnation())), x.now); known {
		ms := age.Milliseconds()
		out.AgeMS = &ms
	}
	return out
}

// permitFor returns why a request needs a permit for a target, and who issues it. It asks for none.
func (x *explanation) permitFor(u *upstream, c *fitting.Candidate) *where.Permit {
	limit := x.g.limits.LimitAt(u.limitKey(), x.now)
	issuer, _ := x.g.permitIssuer(u.limitKey())
	out := &where.Permit{
		PerSecond: limit.Rate(), Brittle: limit.Brittle(), ColdPerSecond: limit.ColdRate(), Issuer: issuer,
		AskInMS: ceilMilliseconds(c.PermitIn),
	}
	if c.ColdFor > 0 {
		var source quota.ColdSource
		_, source = x.g.limits.ColdFor(u.limitKey(), x.now)
		out.ColdMS, out.ColdSource = ceilMilliseconds(c.ColdFor), string(source)
	}
	return out
}

// leftOut returns the targets of the service that are no candidates, with the reason.
func (x *explanation) leftOut() []where.LeftOut {
	var out []where.LeftOut
	add := func(t crew.Target, reason string) {
		out = append(out, where.LeftOut{
			Target: t.Incarnation(), Address: t.Address(), Place: t.Place(), Software: t.SoftwareVersion(), Reason: reason,
		})
	}
	upstreams := x.g.upstreams.Load()
	for _, u := range upstreams.byService[x.service] {
		if x.origin != nil && !x.origin.GoesOnAt(u.target.SoftwareVersion()) {
			add(u.target, "other software version than the stream's")
		}
	}
	for _, t := range sortedTargets(upstreams.evacuated) {
		if t.Service() == x.service {
			add(t, "evacuated")
		}
	}
	for _, u := range x.g.unusedTargets(x.service) {
		add(u.Target, string(u.Reason))
	}
	return out
}

// unusedTargets returns the targets of a service that take no new work.
func (g *Gateway) unusedTargets(service string) []crew.UnusedTarget {
	g.viewMu.Lock()
	defer g.viewMu.Unlock()
	return g.view.Unused(service)
}

// ceilMilliseconds returns a duration in whole milliseconds, 1 at least if it is positive.
func ceilMilliseconds(d time.Duration) int64 {
	if d <= 0 {
		return 0
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func sortedTargets(byKey map[fitting.Key]crew.Target) []crew.Target {
	out := make([]crew.Target, 0, len(byKey))
	for _, t := range byKey {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b crew.Target) int { return cmp.Compare(a.ID(), b.ID()) })
	return out
}
