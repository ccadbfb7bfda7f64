package defect

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// CrashesToBlock is the number of incarnations of targets that must have crashed on a
	// subject, with no complete response between, before requests with it are rejected.
	CrashesToBlock = 3
	// crashesToStopRetries is the number from which a request isn't sent again.
	crashesToStopRetries = 2
	// crashesToKeep is the number from which the evidence is kept beyond a restart of all routers.
	crashesToKeep = 2
	// evidenceTTL is how long a crash counts. One request may then find out whether
	// the subject still crashes targets.
	evidenceTTL = 10 * time.Minute
	// clearTTL is how long a complete response makes older reports of crashes void.
	clearTTL = time.Minute
	// maxSubjects bounds the number of subjects with evidence, and of targets that crashed.
	maxSubjects = 4096
	// evictedFraction is the fraction of them that is dropped to make room.
	evictedFraction = 4
	// maxCrashes bounds the evidence about one subject.
	maxCrashes = 64
	// unansweredTime is within which a sound part that many targets had as they crashed has run well
	// at another one, and the routers know it.
	unansweredTime = soundTime + maxReportDelay/2
	// maxRound bounds what a peer may state of how often a subject came.
	maxRound = 64
	// maxReportDelay is how long a report may be on its way: by so much a crash seems
	// later than it was.
	maxReportDelay = time.Second
)

// TargetKey identifies an incarnation of a target, which crashes once at most. One that
// breaks off responses and responds to later requests is no evidence.
type TargetKey uint64

// Tracker holds the evidence about subjects. It is safe for concurrent use.
type Tracker struct {
	// known is the number of records, read without the lock: mostly there are none.
	known atomic.Int64
	// notTold is the number of subjects that the last message to peers had no room for.
	notTold atomic.Int64
	// sound has the subjects on which targets ran well lately, and completed those of responses that
	// were completed.
	sound     soundTimes
	completed soundTimes
	// trialWait is how long after a crash the first trial is made.
	trialWait time.Duration

	mu      sync.Mutex
	records map[Subject]*record
	// targets has what is known of each target that seemed to crash.
	targets map[TargetKey]*targetRecord
}

// Option is an option of NewTracker.
type Option func(*Tracker)

// WithTrialWait sets how long after a crash the first trial is made of a subject that is blocked.
func WithTrialWait(d time.Duration) Option { return func(t *Tracker) { t.trialWait = d } }

// NewTracker returns a Tracker without evidence.
func NewTracker(opts ...Option) *Tracker {
	t := &Tracker{records: map[Subject]*record{}, targets: map[TargetKey]*targetRecord{}, trialWait: defaultTrialWait}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// Kept returns the subjects whose evidence is worth keeping beyond a restart of all routers.
func (t *Tracker) Kept(now time.Time) []Subject {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Subject
	for s, r := range t.records {
		if r.worthKeeping(now) {
			out = append(out, s)
		}
	}
	return out
}

// KeptOf returns those of the subjects whose evidence is worth keeping beyond a restart of all routers.
func (t *Tracker) KeptOf(subjects []Subject, now time.Time) []Subject {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Subject
	for _, s := range subjects {
		if r := t.records[s]; r != nil && r.worthKeeping(now) {
			out = append(out, s)
		}
	}
	return out
}

// Empty reports whether there is no evidence, without waiting for a lock.
func (t *Tracker) Empty() bool { return t.known.Load() == 0 }

// RecordCrash records that a target crashed at the beginning of the response to a request with the
// subjects, which was sent at a time. It returns the subjects that are blocked from now on.
func (t *Tracker) RecordCrash(subjects []Subject, target TargetKey, sent, now time.Time) (blocked []Subject) {
	return t.RecordCrashAt(Beginning, subjects, target, sent, now)
}

// RecordCrashAt is RecordCrash at a stage of the request. All that a target has at another stage than
// the beginning is suspect alike when it crashes, so it takes more to tell.
func (t *Tracker) RecordCrashAt(stage Stage, subjects []Subject, target TargetKey, sent, now time.Time) (blocked []Subject) {
	return t.recordCrash(subjects, target, crash{sent: sent, at: now, stage: stage}, now)
}

func (t *Tracker) recordCrash(subjects []Subject, target TargetKey, c crash, now time.Time) (blocked []Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range subjects {
		if t.addCrash(s, target, c, now) {
			blocked = append(blocked, s)
		}
	}
	return blocked
}

// RecordSound records that a target completed a response to a request with the subjects, which clears
// them. It returns those that were blocked.
func (t *Tracker) RecordSound(subjects []Subject, now time.Time) (unblocked []Subject) {
	t.completed.record(subjects, now)
	return t.recordSound(subjects, true, now)
}

// RecordProgress records that a target is beyond the beginning of a response to a request with the
// subjects, and still runs well. This clears them of crashes at the beginning. It returns those that
// were blocked.
func (t *Tracker) RecordProgress(subjects []Subject, now time.Time) (unblocked []Subject) {
	return t.recordSound(subjects, false, now)
}

func (t *Tracker) recordSound(subjects []Subject, completed bool, now time.Time) (unblocked []Subject) {
	t.sound.record(subjects, now)
	if t.Empty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range subjects {
		r := t.records[p]
		if r == nil || len(r.crashes) == 0 {
			continue
		}
		before := r.count(now)
		r.clear(now, completed, now)
		if before >= CrashesToBlock && r.count(now) < CrashesToBlock {
			unblocked = append(unblocked, p)
		}
	}
	return unblocked
}

// Blocked returns the first subject that crashes targets, if there is one. One all of whose crashes had
// another such subject as well, which is not among these, is not: that one may be the cause. Admit also
// says whether a trial may be made.
func (t *Tracker) Blocked(subjects []Subject, now time.Time) (Subject, bool) {
	return t.firstWith(subjects, CrashesToBlock, now)
}

// MayResend reports whether a request with the subjects may be sent again after its target
// crashed.
func (t *Tracker) MayResend(subjects []Subject, now time.Time) bool {
	_, found := t.firstWith(subjects, crashesToStopRetries, now)
	return !found
}

// Crashes returns the number of targets that crashed on a subject, and when the first one
// that still counts did.
func (t *Tracker) Crashes(p Subject, now time.Time) (n int, first time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[p]
	if r == nil {
		return 0, time.Time{}
	}
	for _, c := range r.crashes {
		if first.IsZero() || c.at.Before(first) {
			first = c.at
		}
	}
	return r.count(now), first
}

// CountKnown returns the number of subjects with evidence.
func (t *Tracker) CountKnown() int { return int(t.known.Load()) }

// CountNotTold returns the number of subjects that the last message to peers had no room for.
func (t *Tracker) CountNotTold() int { return int(t.notTold.Load()) }

// CountBlocked returns the number of blocked subjects.
func (t *Tracker) CountBlocked(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if r.count(now) >= CrashesToBlock {
			n++
		}
	}
	return n
}

func (t *Tracker) firstWith(subjects []Subject, crashes int, now time.Time) (Subject, bool) {
	if t.Empty() {
		return nil, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range subjects {
		if r := t.records[s]; r != nil && r.count(now) >= crashes && !t.explained(r, subjects, now) {
			return s, true
		}
	}
	return nil, false
}

// explained reports whether every crash of a subject is one of a blocked subject that isn't
// among those of the request; the caller holds mu.
func (t *Tracker) explained(r *record, subjects []Subject, now time.Time) bool {
	needed := max(r.count(now), CrashesToBlock)
	for p, other := range t.records {
		if other != r && other.count(now) >= needed && !slices.Contains(subjects, p) && other.covers(r, now) {
			return true
		}
	}
	return false
}

// addCrash adds a crash and reports whether it blocks the subject; the caller holds mu.
func (t *Tracker) addCrash(s Subject, target TargetKey, c crash, now time.Time) (blocks bool) {
	if !t.noteCrash(target, c.at, now) {
		return false
	}
	r := t.recordOf(s, now)
	if sound := t.sound.last(s); sound.After(r.clearedAt) {
		r.clear(sound, false, now)
	}
	if completed := t.completed.last(s); completed.After(r.completedAt) {
		r.clear(completed, true, now)
	}
	if r.clears(c) {
		// Peers that count the crash learn so that it is void.
		r.changedAt = now
		return false
	}
	last, known := r.crashes[target]
	if known && !c.stage.tellsMore(last.stage) && c.at.Sub(last.at) <= maxReportDelay {
		return false
	}
	before := r.count(now)
	c.learnedAt = now
	if c.round == 0 {
		c.round = r.roundOf(c.sent, now)
	}
	if !known && len(r.crashes) >= maxCrashes {
		r.dropOldest()
	}
	r.crashes[target] = c
	if !known || last.stage != c.stage {
		r.changedAt = now
	}
	return before < CrashesToBlock && r.count(now) >= CrashesToBlock
}

// recordOf returns the record of a subject, a new one if there is none; the caller holds mu.
func (t *Tracker) recordOf(s Subject, now time.Time) *record {
	r := t.records[s]
	if r != nil {
		return r
	}
	t.evict(now)
	r = &record{subject: s, crashes: map[TargetKey]crash{}}
	t.records[s] = r
	t.known.Store(int64(len(t.records)))
	return r
}

// evict makes room if there are too many records: it drops the expired ones, or else those
// with the least and oldest evidence. The caller holds mu.
func (t *Tracker) evict(now time.Time) {
	if len(t.records) < maxSubjects {
		return
	}
	subjects := make([]Subject, 0, len(t.records))
	for s, r := range t.records {
		if r.expired(now) {
			delete(t.records, s)
			continue
		}
		subjects = append(subjects, s)
	}
	if len(subjects) < maxSubjects {
		return
	}
	slices.SortFunc(subjects, func(a, b Subject) int { return t.records[a].compare(t.records[b], now) })
	for _, s := range subjects[:maxSubjects/evictedFraction] {
		delete(t.records, s)
	}
}
