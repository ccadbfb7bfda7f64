package defect

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxReports bounds the subjects in one message. One crash makes all suspect that the target had, so
	// those that were told longest ago come first among equals.
	MaxReports = 16
	// maxRecalled bounds the subjects that are recalled.
	maxRecalled = 1024
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
	// ClearedAge is how long ago a target ran well on it, and CompletedAge how long ago a complete
	// response was seen; negative if none was.
	ClearedAge   time.Duration
	CompletedAge time.Duration
}

// Crash is a crash of a target, how long ago it was, and how long ago the request had been
// sent to it.
type Crash struct {
	Target  TargetKey
	Age     time.Duration
	SentAge time.Duration
	Stage   Stage
	// Round is how often the subject had come by then, each time after it was known to have crashed a
	// target; 0 if the peer doesn't tell.
	Round int
}

// Reports returns the evidence to tell to peers: what is new, and the blocked ones; those with the
// most crashes and those that were cleared first, then parts of prompts, which new requests share,
// then those that were told longest ago, so that each gets its turn if there are more than a message holds.
func (t *Tracker) Reports(now time.Time) []Report {
	if t.known.Load() == 0 {
		t.notTold.Store(0)
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	news := t.news(now)
	out := make([]Report, 0, min(len(news), MaxReports))
	for _, n := range news[:min(len(news), MaxReports)] {
		t.records[n.subject].toldAt = now
		out = append(out, t.records[n.subject].report(now))
	}
	t.notTold.Store(int64(len(news) - len(out)))
	return out
}

// newsItem is a subject to tell to peers, with what decides its place among the others.
type newsItem struct {
	subject Subject
	rank    int
	toldAt  time.Time
}

// newsRank is the place of a subject by its crashes. That it was cleared is as urgent as that it is
// blocked, which peers may hold it for.
func newsRank(crashes int) int {
	if crashes == 0 {
		return CrashesToBlock
	}
	return crashes
}

// news returns the subjects to tell to peers in their order, and drops those that have expired; the
// caller holds mu.
func (t *Tracker) news(now time.Time) []newsItem {
	var out []newsItem
	for s, r := range t.records {
		if r.expired(now) {
			delete(t.records, s)
			continue
		}
		crashes := r.count(now)
		if now.Sub(r.changedAt) < newsTime || crashes >= CrashesToBlock {
			out = append(out, newsItem{subject: s, rank: newsRank(crashes), toldAt: r.toldAt})
		}
	}
	t.known.Store(int64(len(t.records)))
	slices.SortFunc(out, func(a, b newsItem) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(kindOrder(a.subject), kindOrder(b.subject)),
			a.toldAt.Compare(b.toldAt))
	})
	return out
}

// kindOrder is the place of a kind of subject among others with as many crashes.
func kindOrder(s Subject) int {
	if _, whole := s.(Request); whole {
		return 1
	}
	return 0
}

// ReportKept returns the evidence about a subject if it is worth keeping beyond a restart of all routers.
func (t *Tracker) ReportKept(s Subject, now time.Time) (Report, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[s]
	if r == nil || !r.worthKeeping(now) {
		return Report{}, false
	}
	return r.report(now), true
}

func (r *record) report(now time.Time) Report {
	out := Report{Subject: r.subject, ClearedAge: ageOf(r.clearedAt, now), CompletedAge: ageOf(r.completedAt, now)}
	for target, c := range r.crashes {
		if c.counts(now) {
			out.Crashes = append(out.Crashes, Crash{Target: target, Age: now.Sub(c.at), SentAge: now.Sub(c.sent), Stage: c.stage, Round: c.round})
		}
	}
	slices.SortFunc(out.Crashes, func(a, b Crash) int { return cmp.Compare(a.Age, b.Age) })
	out.Crashes = out.Crashes[:min(len(out.Crashes), maxReportedCrashes)]
	return out
}

// ageOf returns how long ago a time was; negative for the zero time.
func ageOf(at, now time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}

// RecordFromPeer adds the reports of a peer. It returns the subjects that are blocked
// from now on. Reports with ages that can't be true are ignored.
func (t *Tracker) RecordFromPeer(reports []Report, now time.Time) (blocked []Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addReports(reports[:min(len(reports), MaxReports)], now)
}

// Recall adds reports that outlasted a restart, maxRecalled at most. It returns the subjects that are
// blocked from now on.
func (t *Tracker) Recall(reports []Report, now time.Time) (blocked []Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.addReports(reports[:min(len(reports), maxRecalled)], now)
}

// addReports adds reports; the caller holds mu.
func (t *Tracker) addReports(reports []Report, now time.Time) (blocked []Subject) {
	for _, report := range reports {
		if t.addReport(report, now) {
			blocked = append(blocked, report.Subject)
		}
	}
	return blocked
}

// addReport adds one report and reports whether it blocks the subject; the caller holds mu.
func (t *Tracker) addReport(report Report, now time.Time) (blocks bool) {
	if r := t.records[report.Subject]; r != nil {
		if report.ClearedAge >= 0 && report.ClearedAge < clearTTL {
			r.clear(now.Add(-report.ClearedAge), false, now)
		}
		if report.CompletedAge >= 0 && report.CompletedAge < clearTTL {
			r.clear(now.Add(-report.CompletedAge), true, now)
		}
	}
	for _, c := range report.Crashes[:min(len(report.Crashes), maxReportedCrashes)] {
		earliest := now.Add(-c.Age - maxReportDelay)
		if report.absurd(c) || t.voids(report.Subject, earliest, c.Stage, now) || t.aliveAfter(c.Target, earliest) {
			continue
		}
		blocks = t.addCrash(report.Subject, c.Target, crash{sent: now.Add(-c.SentAge), at: now.Add(-c.Age), stage: c.Stage, round: min(c.Round, maxRound)}, now) || blocks
	}
	return blocks
}

// absurd reports whether a crash can't have the ages that the report gives, or is void by them.
func (r Report) absurd(c Crash) bool {
	soundAge := r.ClearedAge
	if c.Stage == Running {
		soundAge = r.CompletedAge
	}
	return c.Round < 0 || c.Age < 0 || c.Age >= evidenceTTL || c.SentAge < c.Age || soundAge >= 0 && c.Age >= soundAge
}

// voids reports whether a target ran well on a subject after a time, and if so makes that news:
// the peer that reports the crash doesn't know it. The caller holds mu.
func (t *Tracker) voids(s Subject, at time.Time, stage Stage, now time.Time) bool {
	r := t.records[s]
	if r == nil || !r.soundAt(stage).After(at) {
		return false
	}
	r.changedAt = now
	return true
}
