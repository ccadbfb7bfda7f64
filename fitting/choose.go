package fitting

import (
	"time"

	"vanillalug.example/capacity"
	"vanillalug.example/crew"
)

// Candidate is a target with its state as seen by this router.
type Candidate struct {
	Target crew.Target
	Load   Load
	// OwnRequests is the number of requests of this router at the target, which are part of Load.
	OwnRequests int
	// Estimate is how much load the target takes well; zero if nothing was observed.
	Estimate capacity.Estimate
	// Cached reports that the target probably has the shared prompt in its
	// cache.
	Cached bool
	// Suspect marks a target with recent failures.
	Suspect bool
	// Tried marks a target that this request was already sent to.
	Tried bool
	// SourceOnly marks a target that takes no new requests but still runs, so that others may copy
	// cached prompts from it.
	SourceOnly bool
	// PausedFor is how long the target wants no requests from this router; 0 or
	// less if it takes them.
	PausedFor time.Duration
	// Limited marks a target that names a limit or is brittle, so that a request needs a permit.
	Limited bool
	// ColdFor is how much longer the target is cold, and takes few requests; 0 if it is warm.
	ColdFor time.Duration
	// PermitIn is the time until it is worth to ask for a permit; 0 or less is now.
	PermitIn time.Duration
}

// Request describes the request that a target is chosen for.
type Request struct {
	Work  Work
	Place string
	// Slots is the batch size of a model engine; 0 for plain services.
	Slots int
	// KVCapacity is the size of an engine's KV cache in tokens; 0 if unknown.
	KVCapacity int
	// Overuse is what the workspace used lately of the service, as a multiple of its fair share;
	// 0 if unknown.
	Overuse float64
	// CopyRate is the rate at which an engine copies a cached prompt from another
	// one, in prompt tokens per millisecond; 0 means that it can't.
	CopyRate int
	// ServiceTime is the mean time that a request spends at a target; 0 if
	// unknown.
	ServiceTime time.Duration
	// PrefillTime is the time that a thousand prompt tokens at an engine take; 0 if unknown.
	PrefillTime time.Duration
	// TimeLeft is the time until the caller's deadline.
	TimeLeft time.Duration
	// Objective is the latency objective for the start of the response; 0 if
	// unset.
	Objective time.Duration
	// OverloadedFor is how long requests of the service have been rejected.
	OverloadedFor time.Duration
	// Priority is the priority rank of the request; 0 is the most urgent.
	Priority int
	// Random breaks ties.
	Random uint64
}

// Decision is the result of Choose.
type Decision interface{ decision() }

// Chosen is the selected candidate, by its index.
type Chosen struct {
	Index int
	// Source is the index of the candidate from which the chosen one may copy the
	// shared prompt, or NoSource.
	Source int
	// MaxWait is how long the request may wait for a permit.
	MaxWait time.Duration
}

// NoSource is the Source of a choice without a candidate to copy from.
const NoSource = -1

// Overloaded rejects the request, as no target can start it in time. The caller
// may retry after the given time.
type Overloaded struct {
	RetryAfter time.Duration
	// Shortage is what there is too little of.
	Shortage Shortage
}

// Paused rejects the request, as every target that it was not sent to wants no
// requests for now or is at its limit. The caller may retry after the given time.
type Paused struct{ RetryAfter time.Duration }

// NoTarget is returned when every candidate was tried or there is none.
type NoTarget struct{}

func (Chosen) decision()     {}
func (Overloaded) decision() {}
func (Paused) decision()     {}
func (NoTarget) decision()   {}

// Choose selects a target. It never selects targets that were tried or are paused. If no
// other is left it selects the one whose next permit comes soonest, or a suspect one.
func Choose(q Request, all []Candidate) Decision {
	var s steps
	return decide(q, all, &s)
}

// decide selects a target and records how.
func decide(q Request, all []Candidate, s *steps) Decision {
	left := eligible(all)
	if len(left) == 0 {
		if i, ok := soonestPermit(q, all); ok {
			s.rule = SoonestPermit
			return withCopySource(q, all, i, q.maxWait())
		}
		left = suspects(all)
	}
	s.available = left
	if len(left) == 0 {
		if d, ok := shortestPause(all); ok {
			return Paused{RetryAfter: AfterPause(d, q.Random)}
		}
		return NoTarget{}
	}
	left, shortage := admit(q, all, left, s)
	if shortage != NoShortage {
		return Overloaded{RetryAfter: q.returnTime(all, left, shortage), Shortage: shortage}
	}
	s.admitted = left
	if key, ok := q.Work.PromptKey(); ok && q.Slots > 0 {
		return chooseEngine(q, key, all, left, s)
	}
	if q.Slots > 0 {
		s.rule = LeastLoaded
		return chooseLeastLoaded(q, all, left)
	}
	return choosePlain(q, all, left, s)
}

// takesRequests reports whether the request may be sent to the candidate, as far as the
// target itself is concerned.
func (c Candidate) takesRequests() bool { return !c.SourceOnly && !c.Tried && c.PausedFor <= 0 }

// mayBeCopiedFrom reports whether the chosen target may copy the shared prompt from the candidate.
func (c Candidate) mayBeCopiedFrom() bool {
	return c.Cached && !c.Suspect && !c.Tried && (c.SourceOnly || c.takesRequests())
}

// eligible returns the indexes of the candidates that may be chosen.
func eligible(all []Candidate) []int {
	left := make([]int, 0, len(all))
	for i := range all {
		if all[i].exclusion() == NotExcluded {
			left = append(left, i)
		}
	}
	return left
}

// suspects returns the indexes of the suspect candidates that may be chosen.
func suspects(all []Candidate) []int {
	var left []int
	for i := range all {
		if all[i].exclusion() == TargetSuspect {
			left = append(left, i)
		}
	}
	return left
}

// rendezvousScore returns the weight of a target for a key in rendezvous
// hashing.
func rendezvousScore(key uint64, t crew.Target) uint64 {
	return mix(key ^ uint64(KeyOf(t.ID())))
}
