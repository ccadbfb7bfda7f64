package quota

import (
	"slices"
	"time"
)

const (
	// entryDelay is how long ago an entry may have been written when it is read: a heartbeat and the
	// time of a poll. An entry that ends the coldness of a target counts as that old.
	entryDelay = 2 * time.Second
	// coldNewsTime is how long peers are told that a target became warm before its time: the entries of
	// two heartbeats, so that one with a later time than that of any earlier statement is told.
	coldNewsTime = 5 * time.Second
	// coldRetention is how long a statement about a target that is not in use is kept.
	coldRetention = 2 * time.Minute
	// maxColdTargets bounds the targets of which statements are kept.
	maxColdTargets = 4096
)

// LimitAt returns the limit of a target with that of a cold target, if it is cold.
func (t *Table) LimitAt(target TargetKey, now time.Time) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.stated[target].limit
	if now.Before(t.coldUntil) {
		if c := t.cold[target]; c.coldAt(now) {
			limit = limit.AsCold(c.rate)
		}
	}
	return limit
}

// ColdFor returns how much longer a target is cold, and the source of that; 0 if it is warm.
func (t *Table) ColdFor(target TargetKey, now time.Time) (remaining time.Duration, source ColdSource) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.cold[target]; now.Before(t.coldUntil) && c.coldAt(now) {
		return c.until.Sub(now), c.source
	}
	return 0, ""
}

// AnyCold reports whether any target may be cold.
func (t *Table) AnyCold(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.coldUntil)
}

// ObserveEntry records what an entry states that this router read from the registry. It reports
// whether the target became cold by it.
func (t *Table) ObserveEntry(s ColdStatement, order EntryOrder, now time.Time) (becameCold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := cold{until: t.end(s, now), rate: s.Rate, at: now, order: order, own: true, source: ColdEntry}
	known := t.cold[s.Target]
	if known != nil && known.order != (EntryOrder{}) && !order.after(known.order) {
		return false
	}
	if known != nil && !next.until.After(known.until) {
		next.at = now.Add(-entryDelay)
		if known.source != ColdEntry && next.at.Before(known.at) {
			return false
		}
		next.at = latest(next.at, known.at)
	}
	return t.setCold(s.Target, next, now)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ObserveCold records what a response states that this router received. It reports whether the target
// became cold by it.
func (t *Table) ObserveCold(s ColdStatement, now time.Time) (becameCold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.setCold(s.Target, cold{until: t.end(s, now), rate: s.Rate, at: now, own: true, source: ColdResponse}, now)
}

// RecordColdFromPeer records what targets stated to a peer, unless something later is known.
func (t *Table) RecordColdFromPeer(reports []ColdReport, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports[:min(len(reports), MaxReports)] {
		at := now.Add(-r.Age)
		known := t.cold[r.Target]
		if !r.valid() || known != nil && (r.Age == maxColdAge || !at.After(known.at)) {
			continue
		}
		next := cold{until: t.end(r.ColdStatement, now), rate: r.Rate, at: at, source: ColdPeer}
		if r.Age == maxColdAge {
			next.at, next.source = time.Time{}, ColdPresumed
		}
		t.setCold(r.Target, next, now)
	}
}

// RecordBelief records what a peer believes of a target that it describes. As the age of that is not
// known, it never ends the coldness that a target stated.
func (t *Table) RecordBelief(s ColdStatement, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, until := t.cold[s.Target], t.end(s, now)
	if known != nil && !known.at.IsZero() && !until.After(known.until) {
		return
	}
	t.setCold(s.Target, cold{until: until, rate: s.Rate, at: now.Add(-entryDelay), source: ColdPeer}, now)
}

// Presume takes a target of which nothing is known for cold, until something is stated.
func (t *Table) Presume(s ColdStatement, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cold[s.Target] == nil {
		t.setCold(s.Target, cold{until: t.end(s, now), rate: s.Rate, source: ColdPresumed}, now)
	}
}

// PresumePlace takes a target whose failure domain is taken back for cold, whatever was stated before.
func (t *Table) PresumePlace(s ColdStatement, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.setCold(s.Target, cold{until: t.end(s, now), rate: s.Rate, at: now, source: ColdPlace}, now)
}

// ForgetCold forgets what is known of a target.
func (t *Table) ForgetCold(target TargetKey) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cold, target)
}

// SetColdRate sets how many requests a second a target takes while it is cold.
func (t *Table) SetColdRate(target TargetKey, rate float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.cold[target]; c != nil {
		c.rate = rate
	}
}

// ColdReport returns what is known of one target, with its age; known is false if nothing is. A
// presumption has the greatest age, as anything that was stated counts more.
func (t *Table) ColdReport(target TargetKey, now time.Time) (r ColdReport, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cold[target]
	if c == nil {
		return ColdReport{}, false
	}
	return c.report(target, now), true
}

// StatedCold returns how much longer a target is cold; known is false if nothing was stated of it.
func (t *Table) StatedCold(target TargetKey, now time.Time) (remaining time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cold[target]
	if c == nil || c.at.IsZero() {
		return 0, false
	}
	return max(c.until.Sub(now), 0), true
}

// OwnColdReports returns what this router itself learned of the targets that are cold, or became warm
// before their time lately; the newest first, MaxReports at most.
func (t *Table) OwnColdReports(now time.Time) []ColdReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(t.coldUntil.Add(coldNewsTime)) {
		return nil
	}
	var out []ColdReport
	for target, c := range t.cold {
		if c.own && (c.coldAt(now) || now.Sub(c.changedAt) <= coldNewsTime) {
			out = append(out, c.report(target, now))
		}
	}
	slices.SortFunc(out, func(a, b ColdReport) int { return int(a.Age - b.Age) })
	return out[:min(len(out), MaxReports)]
}

func (c *cold) report(target TargetKey, now time.Time) ColdReport {
	age := maxColdAge
	if !c.at.IsZero() {
		age = min(max(now.Sub(c.at), 0), maxColdAge-time.Millisecond)
	}
	remaining := max(c.until.Sub(now), 0)
	return ColdReport{ColdStatement: ColdStatement{Target: target, Remaining: remaining, Rate: c.rate}, Age: age}
}

// end returns when the coldness ends. The caller holds mu.
func (t *Table) end(s ColdStatement, now time.Time) time.Time {
	return now.Add(min(max(s.Remaining, 0), MaxCold))
}

// setCold replaces the statement about a target, and reports whether it became cold. The caller holds mu.
func (t *Table) setCold(target TargetKey, next cold, now time.Time) (becameCold bool) {
	known := t.cold[target]
	if known == nil && len(t.cold) >= maxColdTargets {
		return false
	}
	next.seenAt = now
	was, is := known.coldAt(now), next.coldAt(now)
	switch {
	case was != is:
		next.changedAt = now
	case known != nil:
		next.changedAt = known.changedAt
	}
	if known != nil && next.order == (EntryOrder{}) {
		next.order = known.order
	}
	t.cold[target] = &next
	if is && next.until.After(t.coldUntil) {
		t.coldUntil = next.until
	}
	return is && !was
}

// RetainCold forgets what is known of the targets that are neither in use nor were heard of lately.
func (t *Table) RetainCold(inUse func(TargetKey) bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for target, c := range t.cold {
		if now.Sub(c.seenAt) > coldRetention && !inUse(target) {
			delete(t.cold, target)
		}
	}
}
