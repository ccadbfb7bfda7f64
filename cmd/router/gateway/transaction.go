package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"vanillalug.example/defect"
	"vanillalug.example/edition"
	"vanillalug.example/fitting"
	"vanillalug.example/plan"
	"vanillalug.example/platform"
)

const (
	// maxFailedConnects is the number of targets without a connection after which
	// the request is rejected.
	maxFailedConnects = 4
	// writeGrace is the time to write the final response after the deadline.
	writeGrace = 200 * time.Millisecond
	// overloadRetryAfter is the Retry-After of a service without capacity.
	overloadRetryAfter = 400 * time.Millisecond
)

// transaction is one caller's request with its upstream attempts.
type transaction struct {
	g   *Gateway
	w   http.ResponseWriter
	r   *http.Request
	req *platform.Request

	table     *plan.Table
	route     *plan.Route
	workspace string
	priority  int
	service   string
	body      []byte
	// defectSubjects is nil until subjects is called.
	defectSubjects []defect.Subject
	// tries is nil, or the subject of which the request tries whether it still crashes targets.
	tries      defect.Subject
	trialBegun bool
	start      time.Time
	deadline   time.Time

	// sentAt is when the current attempt began.
	sentAt time.Time
	// written is how far the target has come with the response to the current attempt.
	written writeProgress
	// capacity is what the current attempt observes of the target's speed.
	capacity capacityWatch
	// attempts counts the targets that may have received the request.
	attempts       int
	failedConnects int
	// noTargetLeft says that no target is left after some gave no connection.
	noTargetLeft bool
	// permitsDenied counts the permits that the request was denied.
	permitsDenied int
	tried         map[fitting.Key]bool
	// place is that which the request has at a brittle target.
	place heldPlace
	// permit is that which the current attempt has.
	permit heldPermit
	// counted says that the retry budget has the request.
	counted bool
	// mayHaveRun says that a target may have executed the request.
	mayHaveRun bool
	// relayedBy is the peer that relayed the request; "" for one of an own caller.
	relayedBy string
	// relays are the peers that the request was relayed to.
	relays map[string]bool
	// lastEventID is the id of the last event that was sent to the caller.
	lastEventID string
	// origin is where the stream began; nil while it hasn't.
	origin *edition.Origin
	// copyFrom is the address of the engine from which the target copies the KV
	// cache of the shared prompt, or "".
	copyFrom string
	// wasCached says that the target probably has the shared prompt cached.
	wasCached bool
	// responseStarted says that the head of a target's response was sent to the
	// caller.
	responseStarted bool
	// streamType is the content type of the stream that has begun.
	streamType string
	// completed says that a target completed the request.
	completed bool
	// room is what the request needs at the chosen target.
	room neededRoom
	// target, software, choice and detail are logged: the target of the last attempt with
	// its software version, the reasons for choosing it, and details of a failure.
	target   string
	software string
	choice   string
	detail   string
}

// proxy sends the request to targets until one responds or no retry is left.
func (t *transaction) proxy() {
	t.tried = map[fitting.Key]bool{}
	t.lastEventID = t.req.LastEventID()
	ctx, cancel := context.WithDeadline(t.r.Context(), t.deadline)
	defer cancel()
	defer context.AfterFunc(t.g.stopping.ended, cancel)()
	defer t.limitWriteTime()()
	for {
		if rejected := t.rejectStopping(); rejected != nil {
			t.fail(rejected)
			return
		}
		if name, address, ok := t.relayPeer(); ok {
			if !t.relay(ctx, name, address) {
				return
			}
			continue
		}
		if rejected := t.rejectRelayed(); rejected != nil {
			t.reject(rejected)
			return
		}
		if rejected := t.findOrigin(ctx); rejected != nil {
			t.fail(rejected)
			return
		}
		t.recordRequest()
		u, rejected := t.selectUpstream(ctx)
		if rejected != nil && t.failedConnects > 0 && !t.noTargetLeft {
			t.noTargetLeft = true
			continue
		}
		if rejected != nil {
			t.fail(rejected)
			return
		}
		if !t.attempt(ctx, u) {
			return
		}
	}
}

// recordRequest counts the request for the retry budget, once. A request that is relayed counts
// at the peer.
func (t *transaction) recordRequest() {
	if t.counted {
		return
	}
	t.counted = true
	t.g.retryBudget.RecordRequest(t.service, t.start)
}

// limitWriteTime sets the write deadline, so that a caller that does not read
// can't hold the request. The returned function clears it for the next request.
func (t *transaction) limitWriteTime() (lift func()) {
	controller := http.NewResponseController(t.w)
	setDeadline := func(at time.Time) {
		if err := controller.SetWriteDeadline(at); err != nil {
			t.g.log.Debug("cannot limit writes to a caller", "request", t.req.ID(), "error", err)
		}
	}
	setDeadline(t.deadline.Add(writeGrace))
	return func() { setDeadline(time.Time{}) }
}

// attempt sends the request to a target. It returns true if another target may
// be tried.
func (t *transaction) attempt(ctx context.Context, u *upstream) bool {
	t.tried[u.key] = true
	t.sentAt = t.g.clock.Now()
	t.written = writeProgress{}
	t.target = u.target.Incarnation()
	t.software = u.target.SoftwareVersion()
	t.countSuspects(t.sentAt)
	prefillTokens := t.req.Work().PromptTokens()
	t.watchCapacity(u)
	load := t.occupyRoom(prefillTokens)
	t.g.loads.AddLoad(u.key, load)
	t.recordPlacement(u)
	promptRead := sync.OnceFunc(func() { t.g.loads.Add(u.key, 0, -prefillTokens) })
	defer func() {
		promptRead()
		t.releasePlace()
		t.g.loads.AddLoad(u.key, t.room.load.Negative())
		if t.completed {
			took := t.g.clock.Now().Sub(t.sentAt)
			t.g.serviceTimes.Observe(t.service, took)
			t.observeDuration(took)
		}
	}()
	switch o := t.roundTrip(ctx, u).(type) {
	case notSent:
		return t.handleNotSent(u, o)
	case evacuatedMeanwhile:
		return t.handleEvacuated()
	case permitUnused:
		return t.handlePermitUnused(u)
	case refusedMeanwhile:
		// It is refused before the next attempt.
		return true
	case notRun:
		if o.status != http.StatusMisdirectedRequest {
			t.g.defects.RecordAlive(defect.TargetKey(u.key), t.sentAt)
		}
		return t.handleNotRun(u, o)
	case noResponse:
		return t.handleNoResponse(ctx, u, o)
	case responded:
		t.g.defects.RecordAlive(defect.TargetKey(u.key), t.sentAt)
		return t.handleResponse(ctx, u, o, promptRead)
	}
	return false
}

// recordPlacement records where a shared prompt is cached and queues that for
// the peers.
func (t *transaction) recordPlacement(u *upstream) {
	prompt, ok := t.req.Work().PromptKey()
	if !ok {
		return
	}
	now := t.g.clock.Now()
	placement := fitting.Placement{Prompt: prompt, Target: u.key}
	if t.g.cacheIndex.Record(placement, now) {
		t.g.peers.queuePlacement(placement, now)
	}
}

// mayRetry reports whether the request may be sent to another target, and
// withdraws the retry from the budget.
func (t *transaction) mayRetry() bool {
	now := t.g.clock.Now()
	if t.attempts >= t.route.MaxAttempts() || t.canceledOrExpired() {
		return false
	}
	return t.g.retryBudget.Allow(t.service, t.g.routerCount(), now)
}

// canceledOrExpired reports whether the caller has disconnected, the deadline has passed or the
// router stops.
func (t *transaction) canceledOrExpired() bool {
	return t.r.Context().Err() != nil || t.g.stopping.ended.Err() != nil || !t.g.clock.Now().Before(t.deadline)
}

func (t *transaction) elapsed() time.Duration { return t.g.clock.Now().Sub(t.start) }

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }
