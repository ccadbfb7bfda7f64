package defect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxReports bounds the parts in one message.
	MaxReports = 16
	// maxReportedCrashes bounds the crashes of one part in a message.
	maxReportedCrashes = 16
	// newsTime is how long a change of the evidence is told to peers. Blocked parts are
	// told for as long as they are blocked, also to routers that start.
	newsTime = 3 * time.Second
)

// Report is the evidence of one router about one part.
type Report struct {
	Part    PartKey
	Crashes []Crash
	// ClearedAge is how long ago a complete response was seen; negative if none was.
	ClearedAge time.Duration
}

// Crash is a crash of a target and how long ago it was.
type Crash struct {
	Target TargetKey
	Age    time.Duration
}

// Reports returns the evidence to tell to peers: what is new, and the blocked parts;
// those with the most crashes and then the newest first, MaxReports at most.
func (t *Tracker) Reports(now time.Time) []Report {
	if t.known.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var told []PartKey
	for p, r := range t.records {
		if r.expired(now) {
			delete(t.records, p)
			continue
		}
		if now.Sub(r.changedAt) < newsTime || r.count(now) >= CrashesToBlock {
			told = append(told, p)
		}
	}
	t.known.Store(int64(len(t.records)))
	slices.SortFunc(told, func(a, b PartKey) int {
		return cmp.Or(t.records[b].compare(t.records[a], now), cmp.Compare(a, b))
	})
	out := make([]Report, 0, min(len(told), MaxReports))
	for _, p := range told[:min(len(told), MaxReports)] {
		out = append(out, t.records[p].report(p, now))
	}
	return out
}

func (r *record) report(p PartKey, now time.Time) Report {
	out := Report{Part: p, ClearedAge: -1}
	if !r.clearedAt.IsZero() {
		out.ClearedAge = now.Sub(r.clearedAt)
	}
	for target, at := range r.crashes {
		if age := now.Sub(at); age < evidenceTTL {
			out.Crashes = append(out.Crashes, Crash{Target: target, Age: age})
		}
	}
	slices.SortFunc(out.Crashes, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) })
	out.Crashes = out.Crashes[:min(len(out.Crashes), maxReportedCrashes)]
	return out
}

// RecordFromPeer adds the reports of a peer. It returns the parts that are blocked from
// now on. Reports with ages that can't be true are ignored.
func (t *Tracker) RecordFromPeer(reports []Report, now time.Time) (blocked []PartKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports[:min(len(reports), MaxReports)] {
		if t.addReport(report, now) {
			blocked = append(blocked, report.Part)
		}
	}
	return blocked
}

// addReport adds one report and reports whether it blocks the part; the caller holds mu.
func (t *Tracker) addReport(report Report, now time.Time) (blocks bool) {
	if r := t.records[report.Part]; r != nil && report.ClearedAge >= 0 && report.ClearedAge < clearTTL {
		r.clear(now.Add(-report.ClearedAge), now)
	}
	for _, c := range report.Crashes[:min(len(report.Crashes), maxReportedCrashes)] {
		at := now.Add(-c.Age)
		absurd := c.Age < 0 || c.Age >= evidenceTTL || report.ClearedAge >= 0 && c.Age >= report.ClearedAge
		if absurd || t.clearedBy(report.Part, at.Add(-maxReportDelay)) {
			continue
		}
		blocks = t.addCrash(report.Part, c.Target, at, now) || blocks
	}
	return blocks
}

// clearedBy reports whether a complete response was seen after a time; the caller holds mu.
func (t *Tracker) clearedBy(p PartKey, at time.Time) bool {
	r := t.records[p]
	return r != nil && r.clearedAt.After(at)
}
