package defect

import (
	"slices"
	"time"
)

const (
	// trialPause is the time after a trial at a router within which the outcome of that or of another
	// router's becomes known.
	trialPause = time.Second
	// defaultTrialWait is how long after a crash the first trial is made of a subject that is blocked; it
	// doubles each time that the subject came again and crashed a target, up to maxTrialWait.
	defaultTrialWait = time.Minute
	maxTrialWait     = evidenceTTL / 2
)

// Admission is what becomes of a request by the evidence about its subjects.
type Admission interface{ admission() }

type (
	// Admitted means that nothing blocks the request.
	Admitted struct{}
	// Trial means that the request is let through to find out whether its subject still crashes targets.
	Trial struct{ Subject Subject }
	// Rejected means that the request isn't let through. Soon says that a trial may be made at any time.
	Rejected struct {
		Subject Subject
		Soon    bool
	}
)

func (Admitted) admission() {}
func (Trial) admission()    {}
func (Rejected) admission() {}

// Admit decides about a request with the subjects, of which one of so many routers is asked; random is
// a number for this request. A subject all of whose crashes another blocked one explains, which isn't
// among these, may be sound; so may one whose last crash is long ago. Trials tell, one at a time at each
// router; of those without another explanation, one request in as many as there are routers.
// It changes nothing; a trial needs BeginTrial.
func (t *Tracker) Admit(subjects []Subject, routers int, random uint64, now time.Time) Admission {
	if t.Empty() {
		return Admitted{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Admission = Admitted{}
	for _, s := range subjects {
		r := t.records[s]
		if r == nil || r.count(now) < CrashesToBlock {
			continue
		}
		explained := t.explained(r, subjects, now)
		if !explained && !t.trialDue(r, now) {
			return Rejected{Subject: s}
		}
		turn := explained || random%uint64(max(routers, 1)) == 0
		if !turn || now.Sub(r.trialAt) < trialPause {
			return Rejected{Subject: s, Soon: true}
		}
		out = Trial{Subject: s}
	}
	return out
}

// BeginTrial records that this router lets a request through as a trial of a subject. It returns false if
// it has just let another one through.
func (t *Tracker) BeginTrial(s Subject, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[s]
	if r == nil {
		return true
	}
	if now.Sub(r.trialAt) < trialPause {
		return false
	}
	r.trialAt = now
	return true
}

// trialDue reports whether the last crash is so long ago that a trial is worth its risk.
func (t *Tracker) trialDue(r *record, now time.Time) bool {
	counted := r.counted(now)
	if len(counted) == 0 {
		return true
	}
	last := slices.MaxFunc(counted, func(a, b crash) int { return a.at.Compare(b.at) })
	wait := t.trialWait
	for range rounds(counted) - 1 {
		wait = min(2*wait, maxTrialWait)
	}
	return now.Sub(last.at) >= wait
}
