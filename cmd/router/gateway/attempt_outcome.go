package gateway

import (
	"context"
	"errors"
	"net/http"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/reception"
)

// recordSuccess records a success of the target, which resets its failures.
func (t *transaction) recordSuccess(u *upstream) {
	u.recordSuccess()
	t.g.failureReports.RecordSuccess(u.key)
}

// recordFailure records a failure of the target and logs if that makes it
// suspect.
func (t *transaction) recordFailure(u *upstream, weight int) {
	now := t.g.clock.Now()
	if !t.g.detours.Unreachable(t.service) {
		t.g.failureReports.RecordFailure(u.key, now)
	}
	until := u.recordFailure(now, weight)
	if until.IsZero() {
		return
	}
	t.g.log.Info("target suspect", "request", t.req.ID(), "target", u.target.Incarnation(),
		"for", until.Sub(now).String(), "service", t.service)
}

func (t *transaction) handleNotSent(u *upstream, o notSent) bool {
	t.failedConnects++
	var exhausted *channel.PoolExhaustedError
	if !errors.As(o.cause, &exhausted) && t.r.Context().Err() == nil {
		t.g.recordConnectFailure(u, o.cause)
		t.recordFailure(u, connectFailureWeight)
		t.g.probeTargets(t.g.clock.Now())
	}
	t.logAttempt("not sent", o.cause)
	if t.failedConnects >= maxFailedConnects || t.canceledOrExpired() {
		t.fail(&rejection{status: http.StatusServiceUnavailable, reason: "no connection", retryAfter: overloadRetryAfter, cause: o.cause})
		return false
	}
	return true
}

func (t *transaction) handleNotRun(u *upstream, o notRun) bool {
	t.logAttempt("not run", nil)
	t.observeRefusal(o.status)
	if o.status == http.StatusMisdirectedRequest {
		t.recordFailure(u, responseFailureWeight)
	}
	t.place.rejected = o.status == http.StatusServiceUnavailable
	if now := t.g.clock.Now(); t.g.limits.Limit(u.limitKey()).Brittle() {
		u.noPermitUntil(now.Add(brittlePause))
	}
	if t.mayRetry() {
		return true
	}
	t.fail(&rejection{status: http.StatusServiceUnavailable, reason: "target is full", retryAfter: overloadRetryAfter})
	return false
}

func (t *transaction) handleNoResponse(ctx context.Context, u *upstream, o noResponse) bool {
	t.mayHaveRun = true
	mayResend := true
	if ctx.Err() == nil {
		t.recordFailure(u, responseFailureWeight)
		mayResend = t.recordCrash(u, o.begun, o.cause)
	}
	if mayResend && reception.ConnectionEnded(o.cause) {
		t.detail = describeSubject(t.wholeRequest())
	}
	t.logAttempt("no answer", o.cause)
	if mayResend && t.route.Retryable() && t.mayRetry() {
		return true
	}
	t.fail(&rejection{status: http.StatusBadGateway, reason: "target gave no answer", cause: o.cause})
	return false
}
