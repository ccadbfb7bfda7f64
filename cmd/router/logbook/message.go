package logbook

import (
	"time"

	"vanillalug.example/defect"
	"vanillalug.example/peer"
)

// ToProto returns reports for a message to peers.
func ToProto(reports []defect.Report) []*peer.DefectReport {
	out := make([]*peer.DefectReport, 0, len(reports))
	for _, r := range reports {
		out = append(out, reportToProto(r))
	}
	return out
}

// FromProto returns the reports of a message.
func FromProto(in []*peer.DefectReport) []defect.Report {
	out := make([]defect.Report, 0, len(in))
	for _, r := range in {
		out = append(out, reportFromProto(r))
	}
	return out
}

func reportToProto(r defect.Report) *peer.DefectReport {
	key, wholeRequest := subjectToProto(r.Subject)
	out := &peer.DefectReport{Part: key, WholeRequest: wholeRequest}
	out.Cleared, out.ClearedMs = ageToProto(r.ClearedAge)
	out.Completed, out.CompletedMs = ageToProto(r.CompletedAge)
	for _, c := range r.Crashes {
		crash := &peer.EngineCrash{
			Target: uint64(c.Target), AgoMs: uint32(c.Age.Milliseconds()), SentAgoMs: uint32(c.SentAge.Milliseconds()),
			Late: c.Stage == defect.Running, Round: uint32(c.Round),
		}
		// Older routers count what is in crashes as at the beginning.
		if wholeRequest || c.Stage == defect.Beginning {
			out.Crashes = append(out.Crashes, crash)
		} else {
			out.WeakCrashes = append(out.WeakCrashes, crash)
		}
	}
	return out
}

func reportFromProto(r *peer.DefectReport) defect.Report {
	out := defect.Report{
		Subject: subjectFromProto(r), ClearedAge: ageFromProto(r.Cleared, r.ClearedMs), CompletedAge: ageFromProto(r.Completed, r.CompletedMs),
	}
	for _, c := range r.Crashes {
		out.Crashes = append(out.Crashes, crashFromProto(c, defect.Beginning))
	}
	for _, c := range r.WeakCrashes {
		out.Crashes = append(out.Crashes, crashFromProto(c, defect.Waiting))
	}
	return out
}

// crashFromProto returns a crash that was at a stage unless it says that it was late.
func crashFromProto(c *peer.EngineCrash, stage defect.Stage) defect.Crash {
	if c.Late {
		stage = defect.Running
	}
	return defect.Crash{
		Target: defect.TargetKey(c.Target), Age: time.Duration(c.AgoMs) * time.Millisecond,
		// Older routers don't send the second one.
		SentAge: time.Duration(max(c.SentAgoMs, c.AgoMs)) * time.Millisecond, Stage: stage,
		Round: int(c.Round),
	}
}

func ageToProto(age time.Duration) (known bool, ms uint32) {
	if age < 0 {
		return false, 0
	}
	return true, uint32(age.Milliseconds())
}

func ageFromProto(known bool, ms uint32) time.Duration {
	if !known {
		return -1
	}
	return time.Duration(ms) * time.Millisecond
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
