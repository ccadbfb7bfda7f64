package capacity

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// MaxReports bounds the targets in one message. With about 30 bytes each, and few targets
	// that differ, a message has less than 200 bytes of them on average.
	MaxReports = 8
	// maxReceived bounds the targets that are read from one message.
	maxReceived = 64
	// maxAge bounds the age of a report that is believed.
	maxAge = 10 * time.Second
	// maxPeerWeight bounds the weight of a peer's report, in observations.
	maxPeerWeight = 4
	// minDifference is how far from the usual figures are reported, as a logarithm: a fifth more
	// or less.
	minDifference = 0.18
	// repeatTime is the time after which figures as usual are reported again, so that routers
	// that have just started learn what is usual.
	repeatTime = 5 * time.Second
)

// Report is what a router observed lately of a target. A figure of 0 is unknown.
type Report struct {
	Target TargetKey
	Age    time.Duration
	// Count is the number of observations.
	Count int
	// SlownessPercent is what the target stated.
	SlownessPercent int
	// PrefillRate is in tokens per millisecond, Pause is that between events while Batch
	// requests ran, and Served is the time of a plain request; in milliseconds, without the
	// slowness that the target stated.
	PrefillRate, Pause, Served float64
	Batch                      int
}

// ranked is a report with its rank among others.
type ranked struct {
	report     Report
	target     *target
	difference float64
}

// Own returns what this router observed within a time and what differs from the usual, or is as
// usual again, MaxReports at most: those that differ most.
func (t *Table) Own(lately time.Duration, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []ranked
	for key, known := range t.targets {
		if r, ok := known.report(key, lately, now); ok {
			found = append(found, r)
		}
	}
	slices.SortFunc(found, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.difference, a.difference), cmp.Compare(a.report.Target, b.report.Target))
	})
	found = found[:min(len(found), MaxReports)]
	out := make([]Report, len(found))
	for i, r := range found {
		r.target.sharedAt = now
		out[i] = r.report
	}
	return out
}

// report returns the report of a target, unless there is nothing to be told.
func (t *target) report(key TargetKey, lately time.Duration, now time.Time) (ranked, bool) {
	r := Report{Target: key, Age: max(now.Sub(t.observedAt), 0), Count: t.ownCount()}
	observed := !t.observedAt.IsZero() && r.Age <= lately
	t.service.refresh(now, now.UnixNano())
	difference := 0.0
	if observed {
		difference = t.difference(now)
		r.Batch = t.batch
		r.Pause = t.ownMean(idlePause, lately, now) * (1 + batchGrowth*float64(t.batch))
		r.Served = t.ownMean(serviceTime, lately, now)
		if ms := t.ownMean(tokenTime, lately, now); ms > 0 {
			r.PrefillRate = 1 / ms
		}
	}
	if statedAge := now.Sub(t.ownStated); !t.ownStated.IsZero() && statedAge <= min(lately, statedConstant) && t.stated != 1 {
		r.SlownessPercent = int(math.Round(100 * t.stated))
		difference = max(difference, math.Abs(math.Log(t.stated)))
		if !observed {
			r.Age, r.Count = statedAge, 0
			observed = true
		}
	}
	repeat := now.Sub(t.sharedAt) >= repeatTime
	return ranked{report: r, target: t, difference: difference}, observed && (difference >= minDifference || repeat)
}

// ownMean returns the mean of what this router observed, or 0 if that was not within a time.
func (t *target) ownMean(k kind, lately time.Duration, now time.Time) float64 {
	if now.Sub(t.own[k].at) > lately {
		return 0
	}
	return t.own[k].mean()
}

// difference returns how far the own figures or those of all are from the usual, as a logarithm.
// Own figures as usual are told too while the target counts as slow, so that it is as usual again.
func (t *target) difference(now time.Time) float64 {
	out := math.Abs(math.Log(t.relative(now)))
	for k := range kinds {
		if usual := t.service.usual[k].value; usual > 0 && t.own[k].weight > 0 {
			out = max(out, math.Abs(math.Log(t.own[k].mean()/usual)))
		}
	}
	return out
}

// RecordFromPeer records what a peer observed. Reports that can't be true, and those of targets
// that are not in use, are ignored.
func (t *Table) RecordFromPeer(reports []Report, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports[:min(len(reports), maxReceived)] {
		known, ok := t.targets[r.Target]
		if !ok || r.Age < 0 || r.Age > maxAge || r.Batch < 0 || r.Batch > maxBatch {
			continue
		}
		known.record(r, now.Add(-r.Age))
	}
}

// record adds the figures of a peer's report.
func (t *target) record(r Report, at time.Time) {
	weight := float64(min(max(r.Count, 1), maxPeerWeight))
	if within(r.PrefillRate, minRate, maxRate) {
		t.all[tokenTime].add(1/r.PrefillRate, weight, at, timeConstant)
	}
	if within(r.Pause, minPause, maxPause) {
		t.all[idlePause].add(r.Pause/(1+batchGrowth*float64(r.Batch)), weight, at, timeConstant)
	}
	if within(r.Served, minServed, maxServed) {
		t.all[serviceTime].add(r.Served, weight, at, timeConstant)
	}
	if r.SlownessPercent > 0 {
		t.state(r.SlownessPercent, at)
	}
	t.estimatedAt = 0
}
