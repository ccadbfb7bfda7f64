package gateway

import (
	"strconv"

	"vanillalug.example/cmd/router/meter"
)

// logAttempt logs and counts the outcome of one upstream attempt.
func (t *transaction) logAttempt(outcome string, cause error) {
	meter.CountBy("attempts", "service", t.service, "outcome", outcome)
	t.g.log.Info("attempt", "request", t.req.ID(), "route", t.route.Name(), "target", t.target,
		"software", t.software, "outcome", outcome, "detail", t.detail, "last-event", t.lastEventID, "sends", t.attempts,
		"left-ms", t.deadline.Sub(t.g.clock.Now()).Milliseconds(), "ms", t.elapsed().Milliseconds(),
		"revision", t.g.versions().registry, "error", cause)
}

// logEnd logs and counts the outcome of a request.
func (t *transaction) logEnd(status int, outcome string, cause error) {
	route, kind, version := "", "", uint64(0)
	if t.route != nil {
		route, kind, version = t.route.Name(), t.route.Kind().String(), t.table.Version()
	}
	meter.CountBy("requests", "kind", kind, "status", strconv.Itoa(status), "outcome", outcome)
	meter.ObserveBy("answer", t.elapsed(), "workspace", t.workspace, "kind", kind)
	fields := []any{
		"request", t.req.ID(), "workspace", t.workspace, "route", route, "version", version, "kind", kind,
		"service", t.service, "target", t.target, "status", status, "outcome", outcome, "software", t.software, "sends", t.attempts,
		"ran", t.mayHaveRun, "ms", t.elapsed().Milliseconds(),
	}
	if t.req.LastEventID() != "" {
		fields = append(fields, "resumes", t.req.Resumes(), "from-event", t.req.LastEventID())
	}
	if t.choice != "" {
		fields = append(fields, "choice", t.choice)
	}
	if t.detail != "" {
		fields = append(fields, "detail", t.detail)
	}
	if cause != nil {
		fields = append(fields, "error", cause)
	}
	t.g.log.Info("request", fields...)
}
