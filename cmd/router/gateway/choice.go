package gateway

import (
	"fmt"
	"net/http"

	"vanillalug.example/fitting"
)

// choose picks the next target, or says why there is none.
func (t *trip) choose() (*post, *refusal) {
	now := t.g.clock.Now()
	posts := t.g.targets.Load().byService[t.service]
	keys := make([]fitting.Key, len(posts))
	for i, p := range posts {
		keys[i] = p.key
	}
	loads := t.g.board.Loads(keys, t.g.peers.freshSince())
	held := make([]bool, len(posts))
	if prompt, ok := t.req.Work().Key(); ok {
		held = t.g.memory.Held(prompt, keys, now)
	}
	candidates := make([]fitting.Candidate, len(posts))
	for i, p := range posts {
		candidates[i] = fitting.Candidate{
			Target: p.target, Load: loads[i], Held: held[i], Suspect: p.suspect(now), Tried: t.tried[p.key],
		}
	}
	q := fitting.Question{
		Work: t.req.Work(), Place: t.g.cfg.Place, Pace: t.g.pace.Of(t.service), Left: t.deadline.Sub(now),
		Priority: t.priority, Random: t.g.seed.Add(1),
	}
	if s, ok := t.plan.Service(t.service); ok && s.Engine() != nil {
		q.Slots = s.Engine().Slots()
		q.CopyRate = s.Engine().CopyRate()
	}
	switch v := fitting.Choose(q, candidates).(type) {
	case fitting.Chosen:
		t.choice = describe(candidates, v.Index)
		t.copyFrom = ""
		if v.Source != fitting.NoSource {
			t.copyFrom = posts[v.Source].target.Address()
			t.choice += " source=" + posts[v.Source].target.Lifetime()
		}
		return posts[v.Index], nil
	case fitting.Full:
		t.detail = fmt.Sprintf("pace=%s left=%s total=%d of=%d", q.Pace, q.Left, total(candidates), len(candidates))
		return nil, &refusal{status: http.StatusServiceUnavailable, reason: "service is full", retryAfter: v.Return}
	}
	return nil, &refusal{status: http.StatusServiceUnavailable, reason: "no target", retryAfter: fullRetry}
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
		c.Held, c.Load.Requests(), c.Load.Unread(), len(candidates), total(candidates), suspects)
}

// total is the number of requests at all candidates.
func total(candidates []fitting.Candidate) int {
	n := 0
	for _, c := range candidates {
		n += c.Load.Requests()
	}
	return n
}
