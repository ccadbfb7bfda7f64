package defect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxReports bounds the subjects in one message.
	MaxReports = 16
	// maxReportedCrashes bounds the crashes of one subject in a message.
	maxReportedCrashes = 16
	// newsTime is how long a change of the evidence is told to peers. Blocked subjects are
	// told for as long as they are blocked, also to routers that start.
	newsTime = 3 * time.Second
)

// Report is the evidence of one router about one subject.
type Report struct {
	Subject Subject
	Crashes []Crash
	// ClearedAge is how long ago a complete response was seen; negative if none was.
	ClearedAge time.Duration
}

// Crash is a crash of a target, how long ago it was, and how long ago the request had been
// sent to it.
type Crash struct {
	Target  TargetKey
	Age     time.Duration
	SentAge time.Duration
}

// Reports returns the evidence to tell to peers: what is new, and the blocked ones;
// those with the most crashes and then the newest first, MaxReports at most.
func (t *Tracker) Reports(now time.Time) []Report {
	if t.known.Load() == 0 {
		t.notTold.Store(0)
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var told []Subject
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
	slices.SortFunc(told, func(a, b Subject) int {
		return cmp.Or(t.records[b].compare(t.records[a], now), cmp.Compare(a.key(), b.key()))
	})
	t.notTold.Store(int64(max(len(told)-MaxReports, 0)))
	out := make([]Report, 0, min(len(told), MaxReports))
	for _, p := range told[:min(len(told), MaxReports)] {
		out = append(out, t.records[p].report(now))
	}
	return out
}

func (r *record) report(now time.Time) Report {
	out := Report{Subject: r.subject, ClearedAge: -1}
	if !r.clearedAt.IsZero() {
		out.ClearedAge = now.Sub(r.clearedAt)
	}
	for target, c := range r.crashes {
		if c.counts(now) {
			out.Crashes = append(out.Crashes, Crash{Target: target, Age: now.Sub(c.at), SentAge: now.Sub(c.sent)})
		}
	}
	slices.SortFunc(out.Crashes, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) })
	out.Crashes = out.Crashes[:min(len(out.Crashes), maxReportedCrashes)]
	return out
}

// RecordFromPeer adds the reports of a peer. It returns the subjects that are blocked
// from now on. Reports with ages that can't be true are ignored.
func (t *Tracker) RecordFromPeer(reports []Report, now time.Time) (blocked []Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range reports[:min(len(reports), MaxReports)] {
		if t.addReport(report, now) {
			blocked = append(blocked, report.Subject)
		}
	}
	return blocked
}

// addReport adds one report and reports whether it blocks the subject; the caller holds mu.
func (t *Tracker) addReport(report Report, now time.Time) (blocks bool) {
	if r := t.records[report.Subject]; r != nil && report.ClearedAge >= 0 && report.ClearedAge < clearTTL {
		r.clear(now.Add(-report.ClearedAge), now)
	}
	for _, c := range report.Crashes[:min(len(report.Crashes), maxReportedCrashes)] {
		at := now.Add(-c.Age)
		absurd := c.Age < 0 || c.Age >= evidenceTTL || c.SentAge < c.Age || report.ClearedAge >= 0 && c.Age >= report.ClearedAge
		earliest := at.Add(-maxReportDelay)
		if absurd || t.voids(report.Subject, earliest, now) || t.aliveAfter(c.Target, earliest) {
			continue
		}
		blocks = t.addCrash(report.Subject, c.Target, crash{sent: now.Add(-c.SentAge), at: at}, now) || blocks
	}
	return blocks
}

// voids reports whether a target ran well on a subject after a time, and if so makes that news:
// the peer that reports the crash doesn't know it. The caller holds mu.
func (t *Tracker) voids(s Subject, at, now time.Time) bool {
	r := t.records[s]
	if r == nil || !r.clearedAt.After(at) {
		return false
	}
	r.changedAt = now
	return true
}
