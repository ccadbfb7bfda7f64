package gateway

import (
	"strconv"
	"time"

	"vanillalug.example/edition"
	"vanillalug.example/fitting"
	"vanillalug.example/plan"
	"vanillalug.example/where"
)

// explanation follows a request that isn't sent through the decisions that precede its first attempt.
// It has a transaction without a caller, and calls only those of its methods that change nothing else.
type explanation struct {
	*transaction
	question where.Question
	now      time.Time
	// random is the number that the next request gets; it is left for that request.
	random uint64

	// unknownOrigin says why it isn't known here where the stream began; "" if it is, or if the request
	// begins a stream.
	unknownOrigin string
	input         choiceInput
	fit           fitting.Explanation
}

func (g *Gateway) newExplanation(q where.Question) *explanation {
	t := g.newTransaction(nil, q.Request())
	t.tried = map[fitting.Key]bool{}
	t.lastEventID = t.req.LastEventID()
	return &explanation{transaction: t, question: q, now: t.start, random: g.choiceSeed.Load() + 1}
}

func (x *explanation) answer() where.Answer {
	rejected := x.classify()
	out := where.Answer{
		Router: x.g.cfg.Name, Place: x.g.cfg.Place, At: x.now, Match: x.match(),
		Targets: []where.Target{}, LeftOut: []where.LeftOut{},
	}
	if rejected != nil {
		out.Decision = x.refused(rejected)
		return out
	}
	relayed, isRelayed := x.relayedTo()
	rejected = x.findOriginHere()
	x.input = x.choiceInput(x.random, x.now)
	x.fit = fitting.Explain(x.input.request, x.input.candidates)
	switch {
	case isRelayed:
		out.Decision = relayed
	case rejected != nil:
		out.Decision = x.refused(rejected)
	default:
		out.Decision = x.decide()
	}
	out.Match = x.match()
	out.Room = x.room()
	x.addTargets(&out)
	return out
}

// relayedTo returns the peer that the request would be relayed to, if it would.
func (x *explanation) relayedTo() (where.Decision, bool) {
	if !x.mayRelay() {
		return where.Decision{}, false
	}
	name, address, ok := x.choosePeer(x.random)
	if !ok {
		return where.Decision{}, false
	}
	return where.Decision{
		Outcome: where.ToPeer, Target: name, Address: address.String(), Draw: true, Random: x.randomText(),
		Rule: "this router reaches no target of the service; a peer is drawn among those that do",
	}, true
}

// findOriginHere finds out where the stream began that the request goes on with, by what this router has
// itself: peers, the registry and the store are not asked.
func (x *explanation) findOriginHere() *rejection {
	if x.route.Kind() != plan.Streaming || x.lastEventID == "" {
		return nil
	}
	own := edition.NewAnswer(x.g.streams, x.g.softwareVersions, x.streamKey(x.resumedAttempt()), x.service, x.now)
	switch d := edition.Decide(x.service, own, nil).(type) {
	case edition.GoOn:
		return x.goOn(d)
	case edition.Unknown:
		x.unknownOrigin = d.Reason
	}
	return nil
}

// decide returns what would happen at the first attempt.
func (x *explanation) decide() where.Decision {
	if x.unknownOrigin != "" {
		return where.Decision{
			Outcome: where.Unknown,
			Rule:    "the router would ask peers and the store at which software version the stream began, as it knows only: " + x.unknownOrigin,
		}
	}
	if rejected := x.rejectUnservable(x.random, x.now); rejected != nil {
		return x.refused(rejected)
	}
	if rejected := x.rejectionOf(x.fit.Decision, x.input); rejected != nil {
		out := x.refused(rejected)
		if full, ok := x.fit.Decision.(fitting.Overloaded); ok {
			out.Shortage = full.Shortage.String()
		}
		return out
	}
	return x.chosen(x.fit.Decision.(fitting.Chosen))
}

// chosen returns the target that would be chosen, and why.
func (x *explanation) chosen(d fitting.Chosen) where.Decision {
	c := &x.input.candidates[d.Index]
	out := where.Decision{
		Outcome: where.ToTarget, Target: c.Target.Incarnation(), Address: c.Target.Address(),
		Rule: x.fit.Rule.String(), Draw: x.fit.Draw, Random: x.randomText(), OnlySuspects: x.fit.OnlySuspects,
		NeedsPermit: c.Limited, PermitWaitMS: milliseconds(d.MaxWait),
	}
	if d.Source != fitting.NoSource {
		out.CopyFrom = x.input.candidates[d.Source].Target.Incarnation()
	}
	return out
}

// refused returns the refusal that the caller would get.
func (x *explanation) refused(r *rejection) where.Decision {
	out := where.Decision{Outcome: where.Refused, Rule: r.reason, Status: r.status, Detail: x.detail}
	if r.retryAfter > 0 {
		out.RetryAfter = retryAfterText(r.retryAfter)
	}
	return out
}

func (x *explanation) randomText() string { return strconv.FormatUint(x.random, 10) }

// match returns how the request is classified, as far as it is.
func (x *explanation) match() where.Match {
	work := x.req.Work()
	out := where.Match{
		Method: x.question.Method, Host: x.question.Host, Path: x.req.Path(),
		Workspace: x.workspace, Priority: x.priority, Service: x.service,
		PromptTokens: work.PromptTokens(), ExpectedOutput: work.ExpectedOutput(), SharedTokens: work.ReusableTokens(),
	}
	if key, ok := work.PromptKey(); ok {
		out.Prompt = strconv.FormatUint(key, 16)
	}
	if x.table != nil {
		out.TableVersion = x.table.Version()
	}
	if x.route != nil {
		out.Route, out.Kind = x.route.Name(), x.route.Kind().String()
		out.TimeoutMS, out.ObjectiveMS = timeoutOf(x.route, x.req).Milliseconds(), x.route.Objective().Milliseconds()
		out.Split = splitOf(x.route)
	}
	if x.origin != nil {
		out.Software = x.origin.SoftwareVersion
	}
	return out
}

// splitOf returns the services of a route that has several.
func splitOf(r *plan.Route) []where.Weight {
	if len(r.Services()) < 2 {
		return nil
	}
	out := make([]where.Weight, 0, len(r.Services()))
	for _, s := range r.Services() {
		out = append(out, where.Weight{Service: s.Service(), Weight: s.Weight()})
	}
	return out
}

// room returns the state of the service that decides about room.
func (x *explanation) room() *where.Room {
	q := x.input.request
	return &where.Room{
		Slots: q.Slots, KVCapacity: q.KVCapacity, KVTokens: q.Work.KVTokens(false),
		ServiceTimeMS: milliseconds(q.ServiceTime), PrefillMS: milliseconds(q.PrefillTime),
		RefusingMS: q.OverloadedFor.Milliseconds(), Overuse: q.Overuse, MaxWaitMS: milliseconds(x.fit.MaxWait),
		Requests: totalRequests(x.input.candidates),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
