package defect

import (
	"cmp"
	"time"
)

// crash is when a target crashed on a request, and when the request had been sent to it.
type crash struct {
	sent, at time.Time
	stage    Stage
	// learnedAt is when this router learned of it.
	learnedAt time.Time
	// round is 1, or 1 more than that of the crashes that the router which sent the request knew then.
	// Times of several routers can't be compared for it, as reports are on their way for a while.
	round int
}

// record is the evidence about one subject.
type record struct {
	// subject decides how the crashes count.
	subject Subject
	// crashes has the last crash of each target.
	crashes map[TargetKey]crash
	// clearedAt is when a target last ran well on the subject, and completedAt when one last completed
	// a request with it; the zero time if none did.
	clearedAt   time.Time
	completedAt time.Time
	// trialAt is when this router last let a request with the subject through as a trial.
	trialAt time.Time
	// changedAt is when the record was last changed by an observation of this router
	// or a report that was news.
	changedAt time.Time
	// toldAt is when this router last told its peers.
	toldAt time.Time
}

// covers reports whether every crash that counts for another subject is one of this one.
func (r *record) covers(other *record, now time.Time) bool {
	for target, c := range other.crashes {
		if _, both := r.crashes[target]; !both && c.counts(now) {
			return false
		}
	}
	return true
}

// clear makes the crashes up to a time void, and those shortly after it: if a response was
// completed then, also late ones. It is news if it is more than what peers tell again, which seems
// later by the time that it was on its way.
func (r *record) clear(at time.Time, completed bool, now time.Time) {
	if raise(&r.clearedAt, at) {
		r.changedAt = now
	}
	if completed && raise(&r.completedAt, at) {
		r.changedAt = now
	}
	for target, c := range r.crashes {
		if r.clears(c) {
			delete(r.crashes, target)
			r.changedAt = now
		}
	}
}

// raise sets a time if it is later than before, and reports whether that is news.
func raise(known *time.Time, at time.Time) (news bool) {
	if !at.After(*known) {
		return false
	}
	news = at.Sub(*known) > maxReportDelay
	*known = at
	return news
}

// clears reports whether a crash is void, as a target had run well on the subject.
func (r *record) clears(c crash) bool {
	soundAt := r.soundAt(c.stage)
	return !soundAt.IsZero() && c.at.Before(soundAt.Add(soundTime))
}

// soundAt returns when a target last ran so well on the subject that it voids crashes of a stage.
func (r *record) soundAt(stage Stage) time.Time {
	if stage == Running {
		return r.completedAt
	}
	return r.clearedAt
}

func (c crash) counts(now time.Time) bool { return now.Sub(c.at) < evidenceTTL }

// count returns the number of crashes that still count. A target that crashes as it begins to
// respond tells by itself that a part of the prompt is suspect. Of crashes at another stage, and of
// those on a whole request, only what comes again after them does; or, before the head, more at once
// than block a part otherwise, if no target has run well on it by the time that one would have.
func (r *record) count(now time.Time) int {
	_, whole := r.subject.(Request)
	beginning, waiting := 0, 0
	var repeated []crash
	for _, c := range r.crashes {
		if !c.counts(now) {
			continue
		}
		if c.stage == Beginning && !whole {
			beginning++
			continue
		}
		if c.stage == Waiting && !whole && now.Sub(c.at) >= unansweredTime {
			waiting++
		}
		repeated = append(repeated, c)
	}
	if waiting > CrashesToBlock {
		return beginning + len(repeated)
	}
	return beginning + countRepeated(repeated)
}

// worthKeeping reports whether the evidence is kept beyond a restart of all routers: that of a subject
// that comes again, or that may be found to crash targets before it does.
func (r *record) worthKeeping(now time.Time) bool {
	return r.count(now) >= crashesToKeep || len(r.counted(now)) > CrashesToBlock
}

// countRepeated returns the number of crashes that count if what crashed came again after them.
func countRepeated(crashes []crash) int {
	n := rounds(crashes)
	if n >= CrashesToBlock || n > 1 && len(crashes) > CrashesToBlock {
		return len(crashes)
	}
	return n
}

// counted returns the crashes that still count.
func (r *record) counted(now time.Time) []crash {
	var out []crash
	for _, c := range r.crashes {
		if c.counts(now) {
			out = append(out, c)
		}
	}
	return out
}

// rounds returns how often the subject came and crashed a target, each time after it was known to have
// crashed another. Crashes while it was at several targets count once: when these fail together, for
// whatever reason, so does everything that they have.
func rounds(crashes []crash) int {
	distinct := map[int]bool{}
	for _, c := range crashes {
		distinct[c.round] = true
	}
	return len(distinct)
}

// roundOf returns the round of a crash on a request that this router sent at a time.
func (r *record) roundOf(sent, now time.Time) int {
	round := 1
	for _, c := range r.crashes {
		if c.counts(now) && !c.learnedAt.After(sent) {
			round = max(round, c.round+1)
		}
	}
	return min(round, maxRound)
}

func (r *record) dropOldest() {
	var oldest TargetKey
	var oldestAt time.Time
	for target, c := range r.crashes {
		if oldestAt.IsZero() || c.at.Before(oldestAt) {
			oldest, oldestAt = target, c.at
		}
	}
	delete(r.crashes, oldest)
}

func (r *record) expired(now time.Time) bool {
	return r.count(now) == 0 && now.Sub(r.clearedAt) >= clearTTL
}

// compare orders records by their crashes, then by the time of their last change.
func (r *record) compare(other *record, now time.Time) int {
	return cmp.Or(cmp.Compare(r.count(now), other.count(now)), r.changedAt.Compare(other.changedAt))
}
