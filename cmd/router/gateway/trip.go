package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/fitting"
	"vanillalug.example/plan"
	"vanillalug.example/platform"
)

const (
	// maxConnects bounds the targets that are tried in vain for a connection.
	maxConnects = 4
	// writeSlack is left for the final answer when the time is up.
	writeSlack = 200 * time.Millisecond
	// fullRetry is when a caller may come back to a service that is full.
	fullRetry = 400 * time.Millisecond
)

// trip is one request on its way through the router.
type trip struct {
	g   *Gateway
	w   http.ResponseWriter
	r   *http.Request
	req *platform.Request

	plan      *plan.Table
	route     *plan.Route
	workspace string
	priority  int
	service   string
	body      []byte
	start     time.Time
	deadline  time.Time

	// sends counts the targets that may have received the request.
	sends    int
	connects int
	tried    map[fitting.Key]bool
	// ran says that a target may have run the request.
	ran bool
	// lastEvent is the id of the last event that the caller has.
	lastEvent string
	// copyFrom is where the target copies the shared prompt from, or "".
	copyFrom string
	// answering says that the head of a target's answer was sent on.
	answering bool
	// served says that a target served the request to its end.
	served bool
	// target, choice and detail say in the logs where the request went last
	// and why.
	target string
	choice string
	detail string
}

// run sends the request to targets until one answers or nothing is left to try.
func (t *trip) run() {
	t.tried = map[fitting.Key]bool{}
	t.lastEvent = t.req.LastEventID()
	t.g.budget.RecordRequest(t.service, t.start)
	ctx, cancel := context.WithDeadline(t.r.Context(), t.deadline)
	defer cancel()
	defer t.limitWrites()()
	for {
		p, refused := t.choose()
		if refused != nil {
			t.giveUp(refused)
			return
		}
		if !t.attempt(ctx, p) {
			return
		}
	}
}

// limitWrites ends writes to a caller that takes nothing when its time is up.
// The function returned lifts the limit for the next request.
func (t *trip) limitWrites() (lift func()) {
	c := http.NewResponseController(t.w)
	set := func(at time.Time) {
		if err := c.SetWriteDeadline(at); err != nil {
			t.g.log.Debug("cannot limit writes to a caller", "request", t.req.ID(), "error", err)
		}
	}
	set(t.deadline.Add(writeSlack))
	return func() { set(time.Time{}) }
}

// attempt sends the request to a target; it returns true where another target
// may be tried.
func (t *trip) attempt(ctx context.Context, p *post) bool {
	t.tried[p.key] = true
	sent := t.g.clock.Now()
	t.target = p.target.Incarnation()
	unread := t.req.Work().PromptTokens()
	t.g.board.Add(p.key, 1, unread)
	t.note(p)
	read := false
	first := func() {
		if !read {
			read = true
			t.g.board.Add(p.key, 0, -unread)
		}
	}
	defer func() {
		first()
		t.g.board.Add(p.key, -1, 0)
		if t.served {
			t.g.pace.Observe(t.service, t.g.clock.Now().Sub(sent))
		}
	}()
	switch o := t.exchange(ctx, p).(type) {
	case neverSent:
		return t.afterNeverSent(p, o)
	case notRun:
		return t.afterNotRun(p, o)
	case noAnswer:
		return t.afterNoAnswer(ctx, p, o)
	case answered:
		return t.afterAnswer(ctx, p, o, first)
	}
	return false
}

// note remembers, here and at the peers, where a shared prompt is cached.
func (t *trip) note(p *post) {
	prompt, ok := t.req.Work().PromptKey()
	if !ok {
		return
	}
	now := t.g.clock.Now()
	placement := fitting.Placement{Prompt: prompt, Target: p.key}
	if t.g.memory.Record(placement, now) {
		t.g.peers.place(placement, now)
	}
}

// praise counts a success of the target.
func (t *trip) praise(p *post) {
	p.succeeded()
	t.g.reports.RecordSuccess(p.key)
}

// blame counts a failure of the target.
func (t *trip) blame(p *post, weight int) {
	now := t.g.clock.Now()
	t.g.reports.RecordFailure(p.key, now)
	until := p.failed(now, weight)
	if until.IsZero() {
		return
	}
	t.g.log.Info("target suspect", "request", t.req.ID(), "target", p.target.Incarnation(),
		"for", until.Sub(now).String(), "service", t.service)
}

func (t *trip) afterNeverSent(p *post, o neverSent) bool {
	t.connects++
	var full *channel.PoolExhaustedError
	if !errors.As(o.cause, &full) && t.r.Context().Err() == nil {
		t.blame(p, connectWeight)
	}
	t.logAttempt("not sent", o.cause)
	if t.connects >= maxConnects || t.over() {
		t.giveUp(&refusal{status: http.StatusServiceUnavailable, reason: "no connection", retryAfter: fullRetry, cause: o.cause})
		return false
	}
	return true
}

func (t *trip) afterNotRun(p *post, o notRun) bool {
	t.logAttempt("not run", nil)
	if o.status == http.StatusMisdirectedRequest {
		t.blame(p, answerWeight)
	}
	if t.mayRepeat() {
		return true
	}
	t.giveUp(&refusal{status: http.StatusServiceUnavailable, reason: "target is full", retryAfter: fullRetry})
	return false
}

func (t *trip) afterNoAnswer(ctx context.Context, p *post, o noAnswer) bool {
	t.ran = true
	t.logAttempt("no answer", o.cause)
	if ctx.Err() == nil {
		t.blame(p, answerWeight)
	}
	if t.route.Retryable() && t.mayRepeat() {
		return true
	}
	t.giveUp(&refusal{status: http.StatusBadGateway, reason: "target gave no answer", cause: o.cause})
	return false
}

// mayRepeat reports whether the request may be sent to one more target, and
// takes that from the budget.
func (t *trip) mayRepeat() bool {
	now := t.g.clock.Now()
	if t.sends >= t.route.MaxAttempts() || t.over() {
		return false
	}
	return t.g.budget.Allow(t.service, t.g.routers(), now)
}

// over reports whether the caller is gone or its time is up.
func (t *trip) over() bool {
	return t.r.Context().Err() != nil || !t.g.clock.Now().Before(t.deadline)
}

func (t *trip) elapsed() time.Duration { return t.g.clock.Now().Sub(t.start) }

// giveUp ends the request with a failure that is true of everything sent.
func (t *trip) giveUp(p *refusal) {
	if t.answering {
		t.breakOff(p.reason, p.cause)
	}
	if t.ran {
		p.retryAfter = 0
		p.status = http.StatusBadGateway
		if !t.g.clock.Now().Before(t.deadline) {
			p.status = http.StatusGatewayTimeout
			p.reason = "timeout"
		}
	}
	t.refuse(p)
}

// breakOff ends an answer that has begun so that it does not look complete.
func (t *trip) breakOff(reason string, cause error) {
	t.logEnd(http.StatusOK, "broken off: "+reason, cause)
	panic(http.ErrAbortHandler)
}

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }
