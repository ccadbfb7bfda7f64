package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"vanillalug.example/cmd/router/logbook"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/defect"
	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/reception"
)

// statusDefect is the status for a request that no target survives. It states that the
// request has not run, and without a Retry-After doesn't invite to send it again.
const statusDefect = http.StatusServiceUnavailable

// trialRetryAfter is the Retry-After of a request that may be served once another one has shown that
// it doesn't crash targets.
const trialRetryAfter = time.Second

// subjects returns what may crash targets: the parts of the prompt that requests share, and
// the whole request.
func (t *transaction) subjects() []defect.Subject {
	if t.defectSubjects == nil {
		t.defectSubjects = append(t.promptParts(), t.wholeRequest())
	}
	return t.defectSubjects
}

// promptParts returns the parts of the prompt that requests share.
func (t *transaction) promptParts() []defect.Subject {
	shared := t.req.Work().SharedParts()
	out := make([]defect.Subject, 0, len(shared)+1)
	for _, p := range shared {
		out = append(out, defect.Part(fitting.PromptKey(t.req.Work().Model(), p.ID())))
	}
	return out
}

// wholeRequest returns the subject that stands for the request whenever it comes again.
func (t *transaction) wholeRequest() defect.Subject { return defect.Request(t.contentKey()) }

// rejectDefect returns a rejection if the request or a part of its prompt crashes targets, or may do so
// and it isn't this request that tries. It changes nothing but the transaction, as explanations use it.
func (t *transaction) rejectDefect(random uint64, now time.Time) *rejection {
	if t.g.defects.Empty() || t.trialBegun {
		return nil
	}
	t.tries = nil
	switch a := t.g.defects.Admit(t.subjects(), t.g.routerCount(), random, now).(type) {
	case defect.Trial:
		t.tries = a.Subject
	case defect.Rejected:
		return t.defectRejection(a, now)
	}
	return nil
}

// beginTrial records that the request tries whether a subject still crashes targets. It returns a
// rejection if another one has just begun to.
func (t *transaction) beginTrial(now time.Time) *rejection {
	if t.tries == nil || t.trialBegun {
		return nil
	}
	if !t.g.defects.BeginTrial(t.tries, now) {
		return t.defectRejection(defect.Rejected{Subject: t.tries, Soon: true}, now)
	}
	t.trialBegun = true
	meter.CountBy("defect_trials", "service", t.service)
	t.g.log.Info("a request tries whether it still crashes targets", "request", t.req.ID(), "subject", describeSubject(t.tries))
	return nil
}

// blockedMeanwhile reports whether the request was found to crash targets since one was chosen for it.
func (t *transaction) blockedMeanwhile() bool {
	if t.g.defects.Empty() || t.trialBegun {
		return false
	}
	_, blocked := t.g.defects.Blocked(t.subjects(), t.g.clock.Now())
	return blocked
}

// defectRejection returns the rejection of a request with a subject that crashes targets. Callers get a
// time to retry after only if it may be served then.
func (t *transaction) defectRejection(r defect.Rejected, now time.Time) *rejection {
	crashes, first := t.g.defects.Crashes(r.Subject, now)
	retryAfter := time.Duration(0)
	if r.Soon {
		retryAfter = trialRetryAfter
	}
	t.detail = describeSubject(r.Subject) + " crashes=" + strconv.Itoa(crashes) + " for=" + now.Sub(first).Round(time.Millisecond).String()
	return &rejection{status: statusDefect, reason: "the request crashes targets", retryAfter: retryAfter}
}

// countSuspects counts a request that is passed on although targets crashed on what it holds.
func (t *transaction) countSuspects(now time.Time) {
	if t.g.defects.Empty() {
		return
	}
	most := 0
	for _, s := range t.subjects() {
		crashes, _ := t.g.defects.Crashes(s, now)
		most = max(most, crashes)
	}
	if most > 0 {
		meter.CountBy("defect_suspects_passed", "service", t.service, "crashes", strconv.Itoa(min(most, defect.CrashesToBlock)))
	}
}

// recordCrash records that the target closed the connection before its response was complete. What the
// caller has received doesn't matter. It reports whether the request may be sent to another target.
func (t *transaction) recordCrash(u *upstream, begun bool, cause error) (mayResend bool) {
	if why := t.otherCause(u, cause); why != "" {
		t.logCrash(why, begun, cause, nil)
		return true
	}
	subjects, stage, now := t.subjects(), t.stage(begun), t.g.clock.Now()
	meter.CountBy("defect_evidence", "service", t.service, "begun", strconv.FormatBool(begun))
	t.logCrash("suspect", begun, cause, subjects)
	t.g.logBlocked(t.g.defects.RecordCrashAt(stage, subjects, defect.TargetKey(u.key), t.sentAt, now), "own", now)
	t.g.logbook.Changed(t.g.defects.KeptOf(subjects, now))
	t.g.peers.announce()
	if t.g.defects.MayResend(subjects, now) {
		return true
	}
	t.detail = "not sent again, as it may crash targets: " + describeSubject(t.wholeRequest())
	return false
}

// stage returns how far the target of the current attempt has come with the request.
func (t *transaction) stage(begun bool) defect.Stage {
	switch {
	case t.written.beyondBeginning():
		return defect.Running
	case begun:
		return defect.Beginning
	}
	return defect.Waiting
}

// logCrash logs that a target ended a response, how far it had come with it, and what is suspect.
func (t *transaction) logCrash(verdict string, begun bool, cause error, suspects []defect.Subject) {
	if verdict != "suspect" {
		meter.CountBy("defect_no_evidence", "service", t.service, "reason", verdict)
	}
	t.g.log.Info("response broke off", "request", t.req.ID(), "target", t.target, "begun", begun, "events", t.written.events,
		"written-for", t.written.lastAt.Sub(t.written.firstAt).String(), "verdict", verdict, "suspects", describeSubjects(suspects), "error", cause)
}

// otherCause returns why the end of a response says nothing about the request, "" if it may.
func (t *transaction) otherCause(u *upstream, cause error) string {
	switch {
	case !reception.ConnectionEnded(cause):
		return "the connection has not ended"
	case u.leaving.Load():
		return "the target was leaving"
	case t.g.detours.Unreachable(t.service):
		return "no target can be reached"
	}
	return ""
}

// recordProgress records events that the target of the current attempt has written; u is nil for
// those that a peer relays.
func (t *transaction) recordProgress(u *upstream, events []byte) {
	if u != nil && t.written.add(events, t.g.clock.Now()) {
		t.reportUnblocked(t.g.defects.RecordProgress(t.runSubjects(), t.g.clock.Now()))
	}
}

// recordSound records that a target completed the request, which clears it and the parts of its prompt.
func (t *transaction) recordSound() {
	t.reportUnblocked(t.g.defects.RecordSound(t.runSubjects(), t.g.clock.Now()))
}

// runSubjects returns what a target ran well on. While nothing is suspect, the whole request isn't
// hashed for it.
func (t *transaction) runSubjects() []defect.Subject {
	if t.g.defects.Empty() {
		return t.promptParts()
	}
	return t.subjects()
}

// reportUnblocked logs, stores and announces what is not rejected any more.
func (t *transaction) reportUnblocked(unblocked []defect.Subject) {
	for _, s := range unblocked {
		t.g.log.Info("what seemed to crash targets was answered; no longer rejected", "subject", describeSubject(s), "request", t.req.ID())
	}
	if len(unblocked) > 0 {
		t.g.logbook.Changed(unblocked)
		t.g.peers.announce()
	}
}

// reportDefects sets the gauges of what is known to crash targets.
func (g *Gateway) reportDefects(now time.Time) {
	meter.SetGauge("defects_known", float64(g.defects.CountKnown()))
	meter.SetGauge("defects_blocked", float64(g.defects.CountBlocked(now)))
	meter.SetGauge("defects_not_told", float64(g.defects.CountNotTold()))
}

// logBlocked logs subjects that are blocked from now on. source is the peer that reported
// the last crash, or "own".
func (g *Gateway) logBlocked(subjects []defect.Subject, source string, now time.Time) {
	for _, s := range subjects {
		crashes, first := g.defects.Crashes(s, now)
		meter.CountBy("defects_found")
		g.log.Warn("requests crash targets; rejecting them", "subject", describeSubject(s),
			"crashes", crashes, "first-ago", now.Sub(first).String(), "source", source)
	}
}

func describeSubjects(subjects []defect.Subject) string {
	out := make([]string, len(subjects))
	for i, s := range subjects {
		out[i] = describeSubject(s)
	}
	return strings.Join(out, " ")
}

func describeSubject(s defect.Subject) string {
	switch s := s.(type) {
	case defect.Part:
		return "part=" + strconv.FormatUint(uint64(s), 16)
	case defect.Request:
		return "content=" + strconv.FormatUint(uint64(s), 16)
	}
	return ""
}

// handleDefects adds the evidence of a peer.
func (g *Gateway) handleDefects(from string, reports []*peer.DefectReport) {
	if len(reports) == 0 {
		return
	}
	now := g.clock.Now()
	blocked := g.defects.RecordFromPeer(logbook.FromProto(reports), now)
	g.logBlocked(blocked, from, now)
	if g.writesToStore() {
		g.logbook.Changed(blocked)
	}
}
