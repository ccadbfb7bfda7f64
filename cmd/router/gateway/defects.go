package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
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

// sharedParts returns the keys of the parts of the prompt that requests share.
func (t *transaction) sharedParts() []defect.PartKey {
	parts := t.req.Work().SharedParts()
	if len(parts) == 0 {
		return nil
	}
	keys := make([]defect.PartKey, len(parts))
	for i, p := range parts {
		keys[i] = defect.PartKey(fitting.PromptKey(t.req.Work().Model(), p.ID()))
	}
	return keys
}

// rejectDefect returns a rejection if a part of the prompt crashes targets. Callers get
// no time to retry after, as it won't be served then either.
func (t *transaction) rejectDefect(now time.Time) *rejection {
	part, blocked := t.g.defects.Blocked(t.parts, now)
	if !blocked {
		return nil
	}
	crashes, first := t.g.defects.Crashes(part, now)
	t.detail = "part=" + formatPart(part) + " crashes=" + strconv.Itoa(crashes) + " for=" + now.Sub(first).Round(time.Millisecond).String()
	return &rejection{status: statusDefect, reason: "a part of the prompt crashes targets"}
}

// recordCrash records that the target's connection ended between the head of a stream and
// its first event. It reports whether the request may be sent to another target.
func (t *transaction) recordCrash(u *upstream, cause error) (mayResend bool) {
	if len(t.parts) == 0 || t.responseStarted || !connectionEnded(cause) {
		return true
	}
	now := t.g.clock.Now()
	t.g.logBlocked(t.g.defects.RecordCrash(t.parts, defect.TargetKey(u.key), now), "own", now)
	t.g.peers.announce()
	if t.g.defects.MayResend(t.parts, now) {
		return true
	}
	t.detail = "not sent again: a part of the prompt may crash targets"
	return false
}

// recordComplete records a complete response, which clears the parts of the prompt.
func (t *transaction) recordComplete() {
	unblocked := t.g.defects.RecordComplete(t.parts, t.g.clock.Now())
	for _, p := range unblocked {
		t.g.log.Info("a part of prompts was answered; no longer rejected", "part", formatPart(p), "request", t.req.ID())
	}
	if len(unblocked) > 0 {
		t.g.peers.announce()
	}
}

// logBlocked logs parts that are blocked from now on. source is the peer that reported
// the last crash, or "own".
func (g *Gateway) logBlocked(parts []defect.PartKey, source string, now time.Time) {
	for _, p := range parts {
		crashes, first := g.defects.Crashes(p, now)
		meter.CountBy("defects_found")
		g.log.Warn("a part of prompts crashes targets; rejecting requests with it", "part", formatPart(p),
			"crashes", crashes, "first-ago", now.Sub(first).String(), "source", source)
	}
}

// connectionEnded reports whether an error says that the other side closed or reset the
// connection, as that of a process that has crashed is.
func connectionEnded(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

func formatPart(p defect.PartKey) string { return strconv.FormatUint(uint64(p), 16) }

// defectsToProto returns the reports for a message to peers.
func defectsToProto(reports []defect.Report) []*peer.DefectReport {
	out := make([]*peer.DefectReport, 0, len(reports))
	for _, r := range reports {
		report := &peer.DefectReport{Part: uint64(r.Part)}
		if r.ClearedAge >= 0 {
			report.Cleared = true
			report.ClearedMs = uint32(r.ClearedAge.Milliseconds())
		}
		for _, c := range r.Crashes {
			report.Crashes = append(report.Crashes, &peer.EngineCrash{Target: uint64(c.Target), AgoMs: uint32(c.Age.Milliseconds())})
		}
		out = append(out, report)
	}
	return out
}

func defectsFromProto(in []*peer.DefectReport) []defect.Report {
	out := make([]defect.Report, 0, len(in))
	for _, r := range in {
		report := defect.Report{Part: defect.PartKey(r.Part), ClearedAge: -1}
		if r.Cleared {
			report.ClearedAge = time.Duration(r.ClearedMs) * time.Millisecond
		}
		for _, c := range r.Crashes {
			report.Crashes = append(report.Crashes, defect.Crash{Target: defect.TargetKey(c.Target), Age: time.Duration(c.AgoMs) * time.Millisecond})
		}
		out = append(out, report)
	}
	return out
}

// handleDefects adds the evidence of a peer about parts of prompts.
func (g *Gateway) handleDefects(from string, reports []*peer.DefectReport) {
	if len(reports) == 0 {
		return
	}
	now := g.clock.Now()
	g.logBlocked(g.defects.RecordFromPeer(defectsFromProto(reports), now), from, now)
}
