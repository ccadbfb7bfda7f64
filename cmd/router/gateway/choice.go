package gateway

import (
	"fmt"
	"net/http"
	"time"

	"vanillalug.example/fitting"
)

// choose picks the next target, or says why there is none.
func (t *trip) choose() (*post, *refusal) {
	now := t.g.clock.Now()
	posts := t.g.targets.Load().byService[t.service]
	candidates := t.candidates(posts, now)
	q := t.question(now)
	switch v := fitting.Choose(q, candidates).(type) {
	case fitting.Chosen:
		t.choice = describe(candidates, v.Index)
		t.copyFrom = ""
		if v.Source != fitting.NoSource {
			t.copyFrom = posts[v.Source].target.Address()
			t.choice += " source=" + posts[v.Source].target.Incarnation()
		}
		return posts[v.Index], nil
	case fitting.Overloaded:
		t.g.crowd.Rejected(t.service, now)
		t.detail = fmt.Sprintf("pace=%s left=%s goal=%s crowded=%s total=%d of=%d",
			q.ServiceTime, q.TimeLeft, q.Objective, q.OverloadedFor, total(candidates), len(candidates))
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "service is full", retryAfter: v.RetryAfter}
	}
	return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no target", retryAfter: fullRetry}
}

// candidates are the targets with what is known of them.
func (t *trip) candidates(posts []*post, now time.Time) []fitting.Candidate {
	keys := make([]fitting.Key, len(posts))
	for i, p := range posts {
		keys[i] = p.key
	}
	loads := t.g.board.Loads(keys, t.g.peers.freshSince())
	held := make([]bool, len(posts))
	if prompt, ok := t.req.Work().PromptKey(); ok {
		held = t.g.memory.Cached(prompt, keys, now)
	}
	failing := t.g.failingOf(t.service, keys, now)
	out := make([]fitting.Candidate, len(posts))
	for i, p := range posts {
		out[i] = fitting.Candidate{
			Target: p.target, Load: loads[i], Cached: held[i],
			Suspect: p.suspect(now) || failing[i], Tried: t.tried[p.key],
		}
	}
	return out
}

// question is what a target is chosen for.
func (t *trip) question(now time.Time) fitting.Request {
	q := fitting.Request{
		Work: t.req.Work(), Place: t.g.cfg.Place, ServiceTime: t.g.pace.Mean(t.service),
		TimeLeft: t.deadline.Sub(now), Objective: t.route.Objective(), OverloadedFor: t.g.crowd.Duration(t.service, now),
		Priority: t.priority, Random: t.g.seed.Add(1),
	}
	if s, ok := t.plan.Service(t.service); ok && s.Engine() != nil {
		q.Slots = s.Engine().Slots()
		q.CopyRate = s.Engine().CopyRate()
	}
	return q
}

// describe says in the logs what was known at a choice.
func describe(candidates []fitting.Candidate, chosen int) string {
	suspects := 0
	for _, c := range candidates {
		if c.Suspect {
			suspects++
		}
	}
	c := candidates[chosen]
	return fmt.Sprintf("held=%t load=%d unread=%d of=%d total=%d suspects=%d",
		c.Cached, c.Load.Requests(), c.Load.PrefillTokens(), len(candidates), total(candidates), suspects)
}

// total is the number of requests at all candidates.
func total(candidates []fitting.Candidate) int {
	n := 0
	for _, c := range candidates {
		n += c.Load.Requests()
	}
	return n
}
