package fitting

import "time"

// soonestPermit returns the candidate whose next permit comes soonest, if the request may
// wait for it.
func soonestPermit(q Request, all []Candidate) (best int, found bool) {
	for i, c := range all {
		if !c.takesRequests() || c.Suspect || c.PermitIn > q.maxWait() {
			continue
		}
		if !found || c.PermitIn < all[best].PermitIn {
			best, found = i, true
		}
	}
	return best, found
}

// permitWait returns how long the request may wait for a permit of a candidate: for as
// long as another one takes to prefill what is cached there, or if there is no other, for
// as long as it may wait for a slot.
func (q Request) permitWait(all []Candidate, left []int, chosen int) time.Duration {
	switch {
	case !all[chosen].Limited:
		return 0
	case len(left) == 1:
		return q.maxWait()
	case all[chosen].Cached:
		return min(time.Duration(q.Work.ReusableTokens()/prefillRate)*time.Millisecond, q.maxWait())
	}
	return 0
}

// coldCost returns what is added for an engine that is cold, in milliseconds: the longer the prompt,
// the more, so that it is left to requests with short prompts.
func coldCost(w Work) int { return w.PromptTokens() / prefillRate }
