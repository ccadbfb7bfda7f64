package quota

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// maxAge bounds the age of a report that is believed.
	maxAge = time.Minute
	// MaxReports bounds the targets in one message.
	MaxReports = 64
)

// TargetKey identifies an incarnation of a target.
type TargetKey uint64

// Report is what a target stated to a router some time ago.
type Report struct {
	Target TargetKey
	Limit  Limit
	Age    time.Duration
}

// Table holds what each target stated last about its limit, to this router or to a peer.
// A limit holds until a later response doesn't name it. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	stated map[TargetKey]statement
	// cold has what is known of targets of services with a cold start; from coldUntil on all are warm.
	cold      map[TargetKey]*cold
	coldUntil time.Time
}

// statement is what a target stated at a time.
type statement struct {
	limit Limit
	at    time.Time
	// own says that this router received the response.
	own bool
}

// NewTable returns a Table without limits.
func NewTable() *Table { return &Table{stated: map[TargetKey]statement{}, cold: map[TargetKey]*cold{}} }

// Observe records the limit in a response of a target to this router. It returns the one
// that was known before.
func (t *Table) Observe(target TargetKey, limit Limit, now time.Time) (before Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.stated[target]
	if !ok && !limit.NeedsPermit() {
		return Limit{}
	}
	t.stated[target] = statement{limit: limit, at: now, own: true}
	return known.limit
}

// PresumeBrittle takes a target that has just started for brittle if others of its service have
// stated that they are. It has the least load, and would otherwise get requests from all routers
// before its first response.
func (t *Table) PresumeBrittle(started TargetKey, service []TargetKey, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.stated[started]; known {
		return
	}
	if slices.ContainsFunc(service, func(k TargetKey) bool { return t.stated[k].limit.Brittle() }) {
		t.stated[started] = statement{limit: Limit{}.AsBrittle(), at: now}
	}
}

// RecordFromPeer records what a peer was told, unless something later is known. Reports
// that can't be true are ignored.
func (t *Table) RecordFromPeer(reports []Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports[:min(len(reports), MaxReports)] {
		known, ok := t.stated[r.Target]
		at := now.Add(-r.Age)
		if !r.valid() || !ok && !r.Limit.NeedsPermit() || ok && !at.After(known.at) {
			continue
		}
		t.stated[r.Target] = statement{limit: r.Limit, at: at}
	}
}

func (r Report) valid() bool {
	return r.Age >= 0 && r.Age <= maxAge && r.Limit.rate >= 0 && !math.IsInf(r.Limit.rate, 0)
}

// Limit returns the limit of a target.
func (t *Table) Limit(target TargetKey) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stated[target].limit
}

// Report returns what is known of one target, with the greatest age that is believed if
// it is older.
func (t *Table) Report(target TargetKey, now time.Time) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.stated[target]
	return Report{Target: target, Limit: known.limit, Age: min(now.Sub(known.at), maxAge)}
}

// OwnReports returns what targets stated to this router itself within a time, the newest
// first, MaxReports at most.
func (t *Table) OwnReports(within time.Duration, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for target, s := range t.stated {
		if age := now.Sub(s.at); s.own && age <= within {
			out = append(out, Report{Target: target, Limit: s.limit, Age: age})
		}
	}
	slices.SortFunc(out, func(a, b Report) int { return int(a.Age - b.Age) })
	return out[:min(len(out), MaxReports)]
}

// Retain forgets all targets but those that are in use.
func (t *Table) Retain(inUse func(TargetKey) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target := range t.stated {
		if !inUse(target) {
			delete(t.stated, target)
		}
	}
}
