package defect

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// CrashesToBlock is the number of incarnations of targets that must have crashed on a part, with no
	// complete response between, before requests with it are rejected.
	CrashesToBlock = 3
	// crashesToStopRetries is the number from which a request isn't sent again.
	crashesToStopRetries = 2
	// evidenceTTL is how long a crash counts. One request may then find out whether
	// the part still crashes targets.
	evidenceTTL = 10 * time.Minute
	// clearTTL is how long a complete response makes older reports of crashes void.
	clearTTL = time.Minute
	// maxParts bounds the number of parts with evidence.
	maxParts = 4096
	// evictedFraction is the fraction of them that is dropped to make room.
	evictedFraction = 4
	// maxCrashesOfPart bounds the evidence about one part.
	maxCrashesOfPart = 64
	// maxReportDelay is how long a report may be on its way: by so much a crash seems
	// later than it was.
	maxReportDelay = time.Second
)

// PartKey identifies a part of a prompt for a model.
type PartKey uint64

// TargetKey identifies an incarnation of a target, which crashes once at most. One that
// breaks off responses without ending is no evidence about a part.
type TargetKey uint64

// Tracker holds the evidence about parts. It is safe for concurrent use.
type Tracker struct {
	// known is the number of records, read without the lock: mostly there are none.
	known atomic.Int64

	mu      sync.Mutex
	records map[PartKey]*record
}

// NewTracker returns a Tracker without evidence.
func NewTracker() *Tracker { return &Tracker{records: map[PartKey]*record{}} }

// RecordCrash records that a target crashed as it began to respond to a request with the
// parts. It returns the parts that are blocked from now on.
func (t *Tracker) RecordCrash(parts []PartKey, target TargetKey, now time.Time) (blocked []PartKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if t.addCrash(p, target, now, now) {
			blocked = append(blocked, p)
		}
	}
	return blocked
}

// RecordComplete records a complete response to a request with the parts, which clears
// them. It returns those that were blocked.
func (t *Tracker) RecordComplete(parts []PartKey, now time.Time) (unblocked []PartKey) {
	if t.known.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		r := t.records[p]
		if r == nil || len(r.crashes) == 0 {
			continue
		}
		if r.count(now) >= CrashesToBlock {
			unblocked = append(unblocked, p)
		}
		r.clear(now, now)
	}
	return unblocked
}

// Blocked returns the first part that crashes targets, if there is one. A part all of
// whose crashes had another such part as well, which is not among these, is not blocked:
// that one may be the cause, and the response to this request tells.
func (t *Tracker) Blocked(parts []PartKey, now time.Time) (PartKey, bool) {
	return t.firstWith(parts, CrashesToBlock, now)
}

// MayResend reports whether a request with the parts may be sent again after its target
// crashed.
func (t *Tracker) MayResend(parts []PartKey, now time.Time) bool {
	_, found := t.firstWith(parts, crashesToStopRetries, now)
	return !found
}

// Crashes returns the number of targets that crashed on a part, and when the first one
// that still counts did.
func (t *Tracker) Crashes(p PartKey, now time.Time) (n int, first time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[p]
	if r == nil {
		return 0, time.Time{}
	}
	for _, at := range r.crashes {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return r.count(now), first
}

// CountBlocked returns the number of blocked parts.
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

func (t *Tracker) firstWith(parts []PartKey, crashes int, now time.Time) (PartKey, bool) {
	if t.known.Load() == 0 {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if r := t.records[p]; r != nil && r.count(now) >= crashes && !t.explained(r, parts, now) {
			return p, true
		}
	}
	return 0, false
}

// explained reports whether every crash of a part is one of a blocked part that isn't
// among the parts of the request; the caller holds mu.
func (t *Tracker) explained(r *record, parts []PartKey, now time.Time) bool {
	needed := max(r.count(now), CrashesToBlock)
	for p, other := range t.records {
		if other != r && other.count(now) >= needed && !slices.Contains(parts, p) && other.covers(r, now) {
			return true
		}
	}
	return false
}

// addCrash adds a crash and reports whether it blocks the part; the caller holds mu.
func (t *Tracker) addCrash(p PartKey, target TargetKey, at, now time.Time) (blocks bool) {
	r := t.records[p]
	if r == nil {
		t.evict(now)
		r = &record{crashes: map[TargetKey]time.Time{}}
		t.records[p] = r
		t.known.Store(int64(len(t.records)))
	}
	last, known := r.crashes[target]
	if !at.After(r.clearedAt) || known && at.Sub(last) <= maxReportDelay {
		return false
	}
	before := r.count(now)
	if !known && len(r.crashes) >= maxCrashesOfPart {
		r.dropOldest()
	}
	r.crashes[target] = at
	if !known {
		r.changedAt = now
	}
	return before < CrashesToBlock && r.count(now) >= CrashesToBlock
}

// evict makes room if there are too many records: it drops the expired ones, or else those
// with the least and oldest evidence. The caller holds mu.
func (t *Tracker) evict(now time.Time) {
	if len(t.records) < maxParts {
		return
	}
	parts := make([]PartKey, 0, len(t.records))
	for p, r := range t.records {
		if r.expired(now) {
			delete(t.records, p)
			continue
		}
		parts = append(parts, p)
	}
	if len(parts) < maxParts {
		return
	}
	slices.SortFunc(parts, func(a, b PartKey) int { return t.records[a].compare(t.records[b], now) })
	for _, p := range parts[:maxParts/evictedFraction] {
		delete(t.records, p)
	}
}
