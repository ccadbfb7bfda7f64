package gateway

// logAttempt writes what became of one send.
func (t *trip) logAttempt(outcome string, cause error) {
	t.g.log.Info("attempt", "request", t.req.ID(), "route", t.route.Name(), "target", t.target,
		"outcome", outcome, "sends", t.sends, "ms", t.g.clock.Now().Sub(t.start).Milliseconds(), "error", cause)
}

// logEnd writes how a request ended.
func (t *trip) logEnd(status int, outcome string, cause error) {
	route, version := "", uint64(0)
	if t.route != nil {
		route = t.route.Name()
		version = t.plan.Version()
	}
	t.g.log.Info("request", "request", t.req.ID(), "workspace", t.workspace, "route", route, "version", version,
		"target", t.target, "status", status, "outcome", outcome, "sends", t.sends,
		"ms", t.g.clock.Now().Sub(t.start).Milliseconds(), "error", cause)
}
