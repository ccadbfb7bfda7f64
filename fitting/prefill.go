package fitting

import (
	"slices"
	"time"
)

// withPrefill returns the candidates that are likely to read the prompts ahead in time, or what is
// short if there is none. While nothing is rejected it leaves out no candidate, and rejects only
// what the most urgent request could not wait for either.
func withPrefill(q Request, all []Candidate, left []int) ([]int, Shortage) {
	if q.PrefillTime <= 0 || q.Work.promptTokens == 0 {
		return left, NoShortage
	}
	shortest := q.shortestPrefill(all, left)
	switch {
	case q.OverloadedFor <= 0 && shortest <= q.mostUrgent().maxWait():
		return left, NoShortage
	case shortest > q.maxWait():
		return left, PrefillShortage
	case shortest > q.fairWait():
		return left, ShareShortage
	}
	wait := q.fairWait()
	return slices.DeleteFunc(slices.Clone(left), func(i int) bool { return q.prefillWait(all[i].Load) > wait }), NoShortage
}

// mostUrgent returns the request with the most urgent priority.
func (q Request) mostUrgent() Request {
	q.Priority = 0
	return q
}

// shortestPrefill returns the shortest prefillWait of the candidates.
func (q Request) shortestPrefill(all []Candidate, left []int) time.Duration {
	least := all[left[0]].Load
	for _, i := range left[1:] {
		if all[i].Load.prefillTokens < least.prefillTokens {
			least = all[i].Load
		}
	}
	return q.prefillWait(least)
}

// prefillWait returns how long an engine takes for the prompts that it has yet to read.
func (q Request) prefillWait(l Load) time.Duration {
	return q.PrefillTime * time.Duration(l.prefillTokens) / 1000
}
