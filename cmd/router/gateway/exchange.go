package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/platform"
	"vanillalug.example/reception"
)

// outcome is the result of one upstream attempt.
type outcome interface{ outcome() }

// notSent means that no byte was sent.
type notSent struct{ cause error }

// notRun means that the target's response states that it did not execute the
// request.
type notRun struct{ status int }

// noResponse means that the target may have executed the request, but sent no
// valid response.
type noResponse struct {
	cause error
	// begun says that the head of a response had come.
	begun bool
}

// responded has the head of the target's response; the body is not read yet.
type responded struct {
	conn     *channel.Conn
	response *http.Response
	meta     platform.Response
	// reusable says that the connection can be reused after the body was read.
	reusable bool
	// stopWatch ends cancellation by the caller's context. It returns false if
	// the context has ended already.
	stopWatch func() bool
}

// newResponded returns the outcome for a response whose head was read, while the request may still be
// being written.
func newResponded(conn *channel.Conn, response *http.Response, written *channel.RequestWrite, stopWatch func() bool) responded {
	o := responded{conn: conn, response: response, meta: platform.ReadResponse(response), stopWatch: stopWatch}
	if o.endsWithConn() {
		response.Body = reception.NewConnBody(response.Body, written.End)
	}
	return o
}

// endsWithConn reports whether the body has neither a length nor chunks.
func (o responded) endsWithConn() bool { return reception.EndsWithConn(o.response) }

func (notSent) outcome()    {}
func (notRun) outcome()     {}
func (noResponse) outcome() {}
func (responded) outcome()  {}

// roundTrip sends the request to a target and reads the head of its response.
func (t *transaction) roundTrip(ctx context.Context, u *upstream) outcome {
	now := t.g.clock.Now()
	limits := channel.Limits{MaxOpen: t.maxOpenConns(), MaxIdleTime: t.maxIdleTime(now), New: t.req.ID() == ""}
	conn, err := u.pool.Get(ctx, now, limits)
	if err != nil {
		return notSent{cause: err}
	}
	if !conn.Reused() {
		t.g.recordConnect(u)
	}
	if !t.checkEvacuation(u, conn) {
		return evacuatedMeanwhile{}
	}
	if !t.checkRefusal(conn) {
		return refusedMeanwhile{}
	}
	if t.permitExpired(t.g.clock.Now()) {
		t.keepUnused(conn)
		return permitUnused{}
	}
	// When the caller disconnects or the deadline passes, fail all reads and
	// writes. Closing the connection then cancels the target's work.
	stopWatch := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	t.attempts++
	written, err := t.write(conn, u)
	if err != nil {
		stopWatch()
		conn.Discard()
		t.detectDroppedConn(conn, now, err)
		return noResponse{cause: err}
	}
	response, stray, err := t.readResponseHead(conn, u) //nolint:bodyclose // releaseConn closes the connection that the body is read from
	if err != nil {
		stopWatch()
		conn.Discard()
		t.detectDroppedConn(conn, now, err)
		return noResponse{cause: err}
	}
	o := newResponded(conn, response, written, stopWatch)
	bound := t.req.ID() != "" && o.meta.ID() == t.req.ID()
	o.reusable = bound && !stray && !response.Close && written.Completed()
	t.observeHead(o.meta)
	if o.meta.NotRun() && !bound {
		// Without an id it can't be told whether it was written before the request was read.
		t.g.log.Warn("a refusal without an id", "target", t.target, "status", response.StatusCode)
	}
	if o.meta.NotRun() && bound {
		t.releaseConn(o, discardBody(response.Body))
		return notRun{status: response.StatusCode}
	}
	return o
}

// dropDetectionTime is the time after sending within which a reset means that
// the target had dropped the idle connection.
const dropDetectionTime = 100 * time.Millisecond

// detectDroppedConn updates the idle timeout estimate if a reused connection was
// reset at once: its target may have dropped it while it was idle.
func (t *transaction) detectDroppedConn(conn *channel.Conn, sent time.Time, err error) {
	now := t.g.clock.Now()
	reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if !reset || !conn.Reused() || now.Sub(sent) > dropDetectionTime {
		return
	}
	if t.g.idleTimeouts.of(t.service).ObserveDrop(conn.IdleTime(), now) {
		t.g.log.Info("idle connections are dropped", "request", t.req.ID(), "service", t.service,
			"target", t.target, "idle", conn.IdleTime().String())
	}
}

// maxIdleTime returns how long a connection may have been idle for this request;
// 0 means the idle timeout announced by the target. A request that must not be
// retried gets no connection that may have been dropped.
func (t *transaction) maxIdleTime(now time.Time) time.Duration {
	if t.route.Retryable() {
		return 0
	}
	limit, known := t.g.idleTimeouts.of(t.service).At(now)
	if !known {
		return 0
	}
	return max(limit, time.Nanosecond)
}

// maxOpenConns returns this router's share of the connections that a target
// accepts; 0 means no limit.
func (t *transaction) maxOpenConns() int {
	s, ok := t.table.Service(t.service)
	if !ok || s.MaxConns() == 0 {
		return 0
	}
	return max(s.MaxConns()/t.g.routerCount(), 2)
}

// write sends the head and the body.
func (t *transaction) write(conn *channel.Conn, u *upstream) (*channel.RequestWrite, error) {
	return conn.WriteRequest(t.req.Head(platform.UpstreamAttempt{
		Target:      u.target.ID(),
		Timeout:     t.deadline.Sub(t.g.clock.Now()),
		Workspace:   t.workspace,
		LastEventID: t.lastEventID,
		Priority:    t.enginePriority(),
		CopyFrom:    t.copyFrom,
	}, len(t.body)), t.body)
}

// enginePriority returns the priority sent to an engine, 0 being the most urgent,
// or -1 if the service is not an engine.
func (t *transaction) enginePriority() int {
	if s, ok := t.table.Service(t.service); ok && s.Engine() != nil {
		return min(max(t.priority, 0), lowestEnginePriority)
	}
	return -1
}

// lowestEnginePriority is the least urgent priority of an engine.
const lowestEnginePriority = 9

// headFactor is what a byte of an unfinished head is charged with: a field of few bytes needs much
// more in a map.
const headFactor = 16

// readHead reads the head of a response. A long one is charged to the caller until it is complete.
func (t *transaction) readHead(conn *channel.Conn) (*http.Response, error) {
	hold := reception.NewHold(t.r.Context())
	defer hold.Shrink(0)
	return conn.ReadResponse(t.req.Method(), func(n int) bool { return hold.Cover(headFactor * n) })
}

// releaseConn returns the connection to the pool after the body was read, or
// closes it after a failure.
func (t *transaction) releaseConn(o responded, err error) {
	if !o.stopWatch() || err != nil || !o.reusable {
		o.conn.Discard()
		return
	}
	o.conn.Release(o.meta.KeepAliveTimeout(), t.g.clock.Now())
}

// unreadBodyError is returned for a body that is given up before its end, so that the rest of it may still come.
type unreadBodyError struct{}

// Error implements error.
func (unreadBodyError) Error() string { return "the body is too long to be skipped" }

// discardBody reads a body up to its end. It returns an unreadBodyError if that isn't reached.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBytes+1))
	if err == nil && n > maxStrayBytes {
		return unreadBodyError{}
	}
	return err
}
