package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/platform"
)

const (
	// inlineBody is the largest body that is written before the answer is
	// read, in bytes; it fits the buffers of a connection.
	inlineBody = 4 << 10
	// maxStrayAnswers is how many answers to other requests are passed over.
	maxStrayAnswers = 2
	maxStrayBytes   = 1 << 20
)

// outcome is what became of one send.
type outcome interface{ outcome() }

// neverSent says that no byte left.
type neverSent struct{ cause error }

// notRun says that the target states that it did not run the request.
type notRun struct{ status int }

// noAnswer says that the target may have run the request and gave no answer.
type noAnswer struct{ cause error }

// answered has the head of the target's answer; the body is still to be read.
type answered struct {
	conn     *channel.Conn
	response *http.Response
	answer   platform.Response
	// reusable says that the connection is sound once the body was read.
	reusable bool
	// release ends the watch over the caller.
	release func() bool
}

func (neverSent) outcome() {}
func (notRun) outcome()    {}
func (noAnswer) outcome()  {}
func (answered) outcome()  {}

// exchange sends the request to a target and reads the head of its answer.
func (t *trip) exchange(ctx context.Context, p *post) outcome {
	now := t.g.clock.Now()
	conn, err := p.pool.Get(ctx, now, channel.Limits{MaxOpen: t.connLimit(), MaxIdleTime: t.idleLimit(now)})
	if err != nil {
		return neverSent{cause: err}
	}
	// A caller that leaves ends the exchange, which cancels the target's work.
	release := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	t.sends++
	written, err := t.write(conn, p)
	if err != nil {
		release()
		conn.Discard()
		t.noticeDrop(conn, now, err)
		return noAnswer{cause: err}
	}
	response, stray, err := t.readHead(conn) //nolint:bodyclose // finish closes the connection that the body is read from
	if err != nil {
		release()
		conn.Discard()
		t.noticeDrop(conn, now, err)
		return noAnswer{cause: err}
	}
	o := answered{conn: conn, response: response, answer: platform.ReadResponse(response), release: release}
	o.reusable = !stray && !response.Close && isDone(written)
	if o.answer.NotRun() {
		t.finish(o, drain(response.Body))
		return notRun{status: response.StatusCode}
	}
	return o
}

// dropTime is how soon a target resets a connection that it has dropped.
const dropTime = 100 * time.Millisecond

// noticeDrop learns from a connection that was reset as soon as it was used
// again: its target may have dropped it while it was idle.
func (t *trip) noticeDrop(conn *channel.Conn, sent time.Time, err error) {
	now := t.g.clock.Now()
	reset := errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	if !reset || !conn.Reused() || now.Sub(sent) > dropTime {
		return
	}
	if t.g.idleLimits.of(t.service).ObserveDrop(conn.IdleTime(), now) {
		t.g.log.Info("idle connections are dropped", "request", t.req.ID(), "service", t.service,
			"target", t.target, "idle", conn.IdleTime().String())
	}
}

// idleLimit is how long a connection may have been idle for this request; 0 is
// as long as the target says. One that may be dropped is no place for a
// request that must not be sent again.
func (t *trip) idleLimit(now time.Time) time.Duration {
	if t.route.Retryable() {
		return 0
	}
	limit, known := t.g.idleLimits.of(t.service).At(now)
	if !known {
		return 0
	}
	return max(limit, time.Nanosecond)
}

// connLimit is this router's part of the connections that a target takes.
func (t *trip) connLimit() int {
	s, ok := t.plan.Service(t.service)
	if !ok || s.MaxConns() == 0 {
		return 0
	}
	return max(s.MaxConns()/t.g.routers(), 2)
}

// write sends the head and the body. A long body is written beside the reading
// of the answer, which may come before the body is read.
func (t *trip) write(conn *channel.Conn, p *post) (<-chan error, error) {
	done := make(chan error, 1)
	head := t.req.Head(platform.UpstreamAttempt{
		Target:      p.target.ID(),
		Timeout:     t.deadline.Sub(t.g.clock.Now()),
		Workspace:   t.workspace,
		LastEventID: t.lastEvent,
		Priority:    t.enginePriority(),
		CopyFrom:    t.copyFrom,
	}, len(t.body))
	buffers := net.Buffers{head, t.body}
	if len(t.body) <= inlineBody {
		_, err := buffers.WriteTo(conn.Conn)
		done <- err
		return done, err
	}
	go func() {
		_, err := buffers.WriteTo(conn.Conn)
		done <- err
	}()
	return done, nil
}

// enginePriority is the rank that an engine is told, or -1.
func (t *trip) enginePriority() int {
	if s, ok := t.plan.Service(t.service); ok && s.Engine() != nil {
		return min(max(t.priority, 0), lastPriority)
	}
	return -1
}

// lastPriority is the least urgent rank of an engine.
const lastPriority = 9

func isDone(written <-chan error) bool {
	select {
	case err := <-written:
		return err == nil
	default:
		return false
	}
}

// readHead reads the head of this request's answer. Answers to other requests
// are passed over; the connection is not used again then.
func (t *trip) readHead(conn *channel.Conn) (w *http.Response, stray bool, err error) {
	for range maxStrayAnswers + 1 {
		w, err = conn.ReadResponse(t.req.Method())
		if err != nil {
			return nil, stray, err
		}
		id := platform.ReadResponse(w).ID()
		if id == t.req.ID() || id == "" && !conn.Reused() && !stray {
			return w, stray, nil
		}
		stray = true
		t.g.log.Warn("answer belongs to another request", "request", t.req.ID(), "answer", id, "target", t.target)
		if _, err := io.Copy(io.Discard, io.LimitReader(w.Body, maxStrayBytes)); err != nil {
			return nil, stray, fmt.Errorf("trip.readHead: %w", err)
		}
	}
	return nil, stray, errors.New("trip.readHead: only answers to other requests")
}

// finish keeps or closes the connection after the body was read to its end or
// failed.
func (t *trip) finish(o answered, err error) {
	if !o.release() || err != nil || !o.reusable {
		o.conn.Discard()
		return
	}
	o.conn.Release(o.answer.KeepAliveTimeout(), t.g.clock.Now())
}

func drain(body io.Reader) error {
	_, err := io.Copy(io.Discard, io.LimitReader(body, maxStrayBytes))
	return err
}
