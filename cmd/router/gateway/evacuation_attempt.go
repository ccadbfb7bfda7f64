package gateway

import (
	"net/http"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/crew"
	"vanillalug.example/fitting"
)

// evacuatedMeanwhile means that the target's failure domain was evacuated while the request waited
// for a connection. No byte was sent.
type evacuatedMeanwhile struct{}

func (evacuatedMeanwhile) outcome() {}

// rejectEvacuated returns a rejection if all targets of the service are in evacuated failure
// domains, or nil.
func (t *transaction) rejectEvacuated(random uint64) *rejection {
	if !t.g.upstreams.Load().serviceEvacuated(t.service) {
		return nil
	}
	return &rejection{
		status: http.StatusServiceUnavailable, reason: "service is evacuated",
		retryAfter: fitting.AfterPause(evacuatedRetryAfter, random),
	}
}

// checkEvacuation reports whether the request may still be sent on the connection, which it closes
// otherwise. The engine that a prompt was to be copied from is left alone if it is evacuated.
func (t *transaction) checkEvacuation(u *upstream, conn *channel.Conn) bool {
	if !t.g.mayReach(u) {
		conn.Discard()
		return false
	}
	fromSource := func(other crew.Target) bool { return other.Address() == t.copyFrom }
	if t.copyFrom != "" && t.g.upstreams.Load().anyEvacuated(fromSource) {
		t.copyFrom = ""
	}
	return true
}

// handleEvacuated handles a request whose target was evacuated while it waited. It returns true if
// another target may be tried.
func (t *transaction) handleEvacuated() bool {
	t.logAttempt("evacuated", nil)
	if !t.canceledOrExpired() {
		return true
	}
	t.fail(&rejection{status: http.StatusServiceUnavailable, reason: "target is evacuated", retryAfter: overloadRetryAfter})
	return false
}
