package fitting

import (
	"slices"
	"time"
)

// Explanation says how a choice comes about.
type Explanation struct {
	// Decision is that of Choose for the same request and candidates.
	Decision Decision
	// Rule is the rule that chose; NoRule if the request is refused.
	Rule Rule
	// Draw says that the choice depends on the random number: the next request of the same kind may get
	// another target.
	Draw bool
	// OnlySuspects says that no other target than suspect ones is left.
	OnlySuspects bool
	// MaxWait is how long the request may wait for room; while requests of the service are refused it
	// may be less for a workspace far above its fair share.
	MaxWait time.Duration
	// Considerations has one for each candidate.
	Considerations []Consideration
}

// Consideration is what counted for or against a candidate.
type Consideration struct {
	Excluded Exclusion
	// Probability is that with which the candidate is drawn by weight; 0 by other rules.
	Probability float64
	// Drawn says that the candidate was drawn to be compared.
	Drawn bool
	// Cost is the delay that is compared, for rules that compare costs.
	Cost time.Duration
	// SlotWait and PrefillWait are the predicted waits for a slot and for the prompts ahead.
	SlotWait    time.Duration
	PrefillWait time.Duration
	// LackingTokens is how many tokens the engine lacks in its KV cache for the request until its end.
	LackingTokens int
}

// Explain returns how Choose decides. It runs the same code.
func Explain(q Request, all []Candidate) Explanation {
	var s steps
	e := Explanation{Decision: decide(q, all, &s), MaxWait: q.fairWait(), Considerations: make([]Consideration, len(all))}
	if chosen, ok := e.Decision.(Chosen); ok {
		e.Rule = s.rule
		e.Draw = s.random(q, all, chosen.Index)
	}
	e.OnlySuspects = len(s.available) > 0 && all[s.available[0]].Suspect
	e.addWaits(q, all, &s)
	e.addExclusions(all, &s)
	e.addCosts(q, all, &s)
	return e
}

// addWaits adds what is predicted of each candidate.
func (e *Explanation) addWaits(q Request, all []Candidate, s *steps) {
	mean, known := meanKVTokens(all, s.available)
	need := q.memoryNeed(mean)
	for i := range all {
		c := &e.Considerations[i]
		c.SlotWait = q.slotWait(all[i])
		c.PrefillWait = q.prefillWait(all[i].Load)
		if known && q.KVCapacity > 0 && q.Work.promptTokens > 0 {
			c.LackingTokens = max(need.lacking(&all[i]), 0)
		}
	}
}

// addExclusions adds at which step each candidate was left out.
func (e *Explanation) addExclusions(all []Candidate, s *steps) {
	chosen, isChosen := e.Decision.(Chosen)
	_, overloaded := e.Decision.(Overloaded)
	for i := range all {
		if isChosen && i == chosen.Index {
			continue
		}
		e.Considerations[i].Excluded = s.exclusion(i, &all[i], overloaded)
	}
}

// exclusion returns why a candidate that was not chosen was left out, if it was.
func (s *steps) exclusion(i int, c *Candidate, overloaded bool) Exclusion {
	lost := func(step []int) bool { return step != nil && !slices.Contains(step, i) }
	switch {
	case !slices.Contains(s.available, i):
		return c.exclusion()
	case overloaded:
		return NoRoom
	case lost(s.withMemory):
		return MemoryFull
	case lost(s.admitted):
		return PromptsAhead
	case lost(s.within):
		return OverBound
	case lost(s.pool):
		return OthersNearby
	}
	return NotExcluded
}

// random reports whether another random number may lead to another choice.
func (s *steps) random(q Request, all []Candidate, chosen int) bool {
	switch s.rule {
	case DrawnByWeight, DrawnNearby:
		return len(s.pool) > 1
	case NearCache, LeastLoadedOfSome:
		return len(s.admitted) > 1
	case LeastLoaded:
		return slices.ContainsFunc(s.admitted, func(i int) bool {
			return i != chosen && q.compareLoads(all[i], all[chosen]) == 0
		})
	case NoRule, SoonestPermit, LeastCost:
	}
	return false
}

// addCosts adds by what the candidates were compared.
func (e *Explanation) addCosts(q Request, all []Candidate, s *steps) {
	for _, i := range s.drawn[:s.nDrawn] {
		e.Considerations[i].Drawn = true
	}
	switch {
	case e.Rule.byWeight():
		total := totalWeight(all, s.pool)
		for _, i := range s.pool {
			e.Considerations[i].Probability = drawWeight(all[i]) / total
		}
	case e.Rule.byCost():
		preferred := NoSource
		if key, ok := q.Work.PromptKey(); ok && e.Rule == LeastCost {
			preferred = preferredEngine(key, all, s.admitted)
		}
		for _, i := range s.admitted {
			e.Considerations[i].Cost = time.Duration(cost(q.Work, all[i], i == preferred)) * time.Millisecond
		}
	}
}
