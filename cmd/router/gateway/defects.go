package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/defect"
	"vanillalug.example/fitting"
	"vanillalug.example/peer"
)

// statusDefect is the status for a request that no target survives. It states that the
// request has not run, and without a Retry-After doesn't invite to send it again.
const statusDefect = http.StatusServiceUnavailable

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

// rejectDefect returns a rejection if the request or a part of its prompt crashes targets.
// Callers get no time to retry after, as it won't be served then either.
func (t *transaction) rejectDefect(now time.Time) *rejection {
	if t.g.defects.Empty() {
		return nil
	}
	subject, blocked := t.g.defects.Blocked(t.subjects(), now)
	if !blocked {
		return nil
	}
	crashes, first := t.g.defects.Crashes(subject, now)
	t.detail = describeSubject(subject) + " crashes=" + strconv.Itoa(crashes) + " for=" + now.Sub(first).Round(time.Millisecond).String()
	return &rejection{status: statusDefect, reason: "the request crashes targets"}
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

// recordCrash records that the target closed the connection before it was beyond the beginning
// of its response. What the caller has received doesn't matter. What is suspect depends on
// whether the target had begun to respond: then it ran this request, otherwise only the request
// that comes again can be told from others. It reports whether the request may be sent to
// another target.
func (t *transaction) recordCrash(u *upstream, begun bool, cause error) (mayResend bool) {
	if t.written.beyondBeginning() {
		t.logCrash("ran well", begun, cause, nil)
		t.recordSound()
		return true
	}
	if why := t.otherCause(u, cause); why != "" {
		t.logCrash(why, begun, cause, nil)
		return true
	}
	subjects := t.subjects()
	if !begun {
		subjects = []defect.Subject{t.wholeRequest()}
	}
	now := t.g.clock.Now()
	meter.CountBy("defect_evidence", "service", t.service, "begun", strconv.FormatBool(begun))
	t.logCrash("suspect", begun, cause, subjects)
	t.g.logBlocked(t.g.defects.RecordCrash(subjects, defect.TargetKey(u.key), t.sentAt, now), "own", now)
	t.g.peers.announce()
	if t.g.defects.MayResend(subjects, now) {
		return true
	}
	t.detail = "not sent again, as it may crash targets: " + describeSubject(t.wholeRequest())
	return false
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
	case !connectionEnded(cause):
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
		t.recordSound()
	}
}

// recordSound records that a target ran well on the request, which clears it and the parts of
// its prompt. While nothing is suspect, the whole request isn't hashed for it.
func (t *transaction) recordSound() {
	var subjects []defect.Subject
	if t.g.defects.Empty() {
		subjects = t.promptParts()
	} else {
		subjects = t.subjects()
	}
	unblocked := t.g.defects.RecordSound(subjects, t.g.clock.Now())
	for _, s := range unblocked {
		t.g.log.Info("what seemed to crash targets was answered; no longer rejected", "subject", describeSubject(s), "request", t.req.ID())
	}
	if len(unblocked) > 0 {
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

// connectionEnded reports whether an error says that the other side closed or reset the
// connection, as that of a process that has crashed is.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
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

func subjectToProto(s defect.Subject) (key uint64, wholeRequest bool) {
	switch s := s.(type) {
	case defect.Part:
		return uint64(s), false
	case defect.Request:
		return uint64(s), true
	}
	return 0, false
}

func subjectFromProto(r *peer.DefectReport) defect.Subject {
	if r.WholeRequest {
		return defect.Request(r.Part)
	}
	return defect.Part(r.Part)
}

// defectsToProto returns the reports for a message to peers.
func defectsToProto(reports []defect.Report) []*peer.DefectReport {
	out := make([]*peer.DefectReport, 0, len(reports))
	for _, r := range reports {
		key, wholeRequest := subjectToProto(r.Subject)
		report := &peer.DefectReport{Part: key, WholeRequest: wholeRequest}
		if r.ClearedAge >= 0 {
			report.Cleared = true
			report.ClearedMs = uint32(r.ClearedAge.Milliseconds())
		}
		for _, c := range r.Crashes {
			report.Crashes = append(report.Crashes, &peer.EngineCrash{
				Target: uint64(c.Target), AgoMs: uint32(c.Age.Milliseconds()), SentAgoMs: uint32(c.SentAge.Milliseconds()),
			})
		}
		out = append(out, report)
	}
	return out
}

func defectsFromProto(in []*peer.DefectReport) []defect.Report {
	out := make([]defect.Report, 0, len(in))
	for _, r := range in {
		report := defect.Report{Subject: subjectFromProto(r), ClearedAge: -1}
		if r.Cleared {
			report.ClearedAge = time.Duration(r.ClearedMs) * time.Millisecond
		}
		for _, c := range r.Crashes {
			report.Crashes = append(report.Crashes, defect.Crash{
				Target: defect.TargetKey(c.Target), Age: time.Duration(c.AgoMs) * time.Millisecond,
				// Older routers don't send the second one.
				SentAge: time.Duration(max(c.SentAgoMs, c.AgoMs)) * time.Millisecond,
			})
		}
		out = append(out, report)
	}
	return out
}

// handleDefects adds the evidence of a peer.
func (g *Gateway) handleDefects(from string, reports []*peer.DefectReport) {
	if len(reports) == 0 {
		return
	}
	now := g.clock.Now()
	g.logBlocked(g.defects.RecordFromPeer(defectsFromProto(reports), now), from, now)
}
