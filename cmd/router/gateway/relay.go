package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/detour"
	"vanillalug.example/platform"
)

// Headers between routers.
const (
	// relayHeader has the name of the router that relays a request of one of its callers.
	relayHeader = "Vanillalug-Relayed-By"
	// relayAttemptsHeader has the number of targets that may have received the request before.
	relayAttemptsHeader = "Vanillalug-Attempts"
	// unreachableHeader states in a response that the router doesn't reach the targets either, so
	// that the request was not run.
	unreachableHeader = "Vanillalug-Unreachable"
	// leavingTargetHeader has the incarnation of the target that states in a relayed response
	// that it is leaving.
	leavingTargetHeader = "Vanillalug-Leaving-Target"
)

const (
	// maxRelays is the number of peers that a request is relayed to if they don't reach the
	// targets either.
	maxRelays = 3
	// connectsBeforeRelay is the number of targets to which a request gets no connection before
	// it is relayed, although others may be reachable.
	connectsBeforeRelay = 2
)

// relayPeer returns the peer that the request should be relayed to, if its targets can't be
// reached from here or seem not to be. A request that a peer relayed is never relayed again.
func (t *transaction) relayPeer() (name string, address netip.AddrPort, ok bool) {
	if !t.mayRelay() {
		return "", netip.AddrPort{}, false
	}
	return t.choosePeer(t.g.choiceSeed.Add(1))
}

// mayRelay reports whether the request should be relayed to a peer if there is one for it.
func (t *transaction) mayRelay() bool {
	wanted := t.g.detours.Unreachable(t.service) || t.failedConnects >= connectsBeforeRelay || t.noTargetLeft
	wanted = wanted && !t.g.upstreams.Load().serviceEvacuated(t.service)
	return wanted && t.relayedBy == "" && len(t.relays) < maxRelays
}

// choosePeer returns the peer that the request is relayed to.
func (t *transaction) choosePeer(random uint64) (name string, address netip.AddrPort, ok bool) {
	serving := t.g.peers.serving()
	peers := make([]detour.Peer, 0, len(serving))
	for name, r := range serving {
		peers = append(peers, detour.Peer{Name: name, Unreachable: r.unreachable})
	}
	name, ok = detour.Choose(t.service, peers, t.relays, random)
	return name, serving[name].address, ok
}

// relay sends the request through a peer, which chooses the target and makes the attempts. It
// returns true if another attempt may be made.
func (t *transaction) relay(ctx context.Context, name string, address netip.AddrPort) bool {
	if t.relays == nil {
		t.relays = map[string]bool{}
	}
	t.relays[name] = true
	t.target, t.software, t.choice = "peer "+name, "", ""
	switch o := t.relayRoundTrip(ctx, address).(type) {
	case notSent:
		t.countRelay("not sent")
		t.logAttempt("not sent", o.cause)
		if t.canceledOrExpired() {
			t.fail(&rejection{status: http.StatusServiceUnavailable, reason: "no connection", retryAfter: overloadRetryAfter, cause: o.cause})
			return false
		}
		return true
	case noResponse:
		return t.handleRelayBroken("no answer", o.cause)
	case responded:
		return t.handleRelayed(ctx, o)
	}
	return false
}

func (t *transaction) countRelay(outcome string) {
	meter.CountBy("relays", "service", t.service, "outcome", outcome)
}

// handleRelayBroken handles a relayed request whose response did not come, or broke off.
func (t *transaction) handleRelayBroken(outcome string, cause error) bool {
	t.mayHaveRun = true
	t.countRelay(outcome)
	t.logAttempt(outcome, cause)
	if t.route.Retryable() && t.g.defects.MayResend(t.subjects(), t.g.clock.Now()) && t.mayRetry() {
		return true
	}
	t.fail(&rejection{status: http.StatusBadGateway, reason: "peer gave no answer", cause: cause})
	return false
}

// relayRoundTrip sends the request to a peer on a new connection, as one that was idle may be
// dead, and reads the head of the response.
func (t *transaction) relayRoundTrip(ctx context.Context, address netip.AddrPort) outcome {
	pool := channel.NewPool(address.String(), t.g.dialPeer)
	conn, err := pool.Get(ctx, t.g.clock.Now(), channel.Limits{})
	if err != nil {
		return notSent{cause: err}
	}
	stopWatch := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	written, err := conn.WriteRequest(t.relayHead(), t.body)
	if err != nil {
		stopWatch()
		conn.Discard()
		t.attempts++
		return noResponse{cause: err}
	}
	response, err := t.readHead(conn) //nolint:bodyclose // releaseConn closes the connection that the body is read from
	if err != nil {
		stopWatch()
		conn.Discard()
		t.attempts++
		return noResponse{cause: err}
	}
	if meta := platform.ReadResponse(response); meta.Unproven() {
		stopWatch()
		conn.Discard()
		t.attempts++
		return noResponse{cause: &unprovenResponseError{status: meta.Status()}}
	}
	return newResponded(conn, response, written, stopWatch)
}

// relayHead returns the head of the request to a peer.
func (t *transaction) relayHead() []byte {
	resumes := ""
	if t.lastEventID != "" {
		resumes = t.resumedAttempt()
	}
	return t.req.RelayHead(platform.RelayedAttempt{
		Timeout:     t.deadline.Sub(t.g.clock.Now()),
		LastEventID: t.lastEventID,
		Resumes:     resumes,
		Header: map[string]string{
			relayHeader:         t.g.cfg.Name,
			relayAttemptsHeader: strconv.Itoa(t.attempts),
		},
	}, len(t.body))
}

// handleRelayed sends the response that a peer relayed to the caller. It returns true if another
// peer may be tried.
func (t *transaction) handleRelayed(ctx context.Context, o responded) bool {
	t.g.withdrawRelayed(leavingTarget(o.response.Header), t.req.ID())
	if o.response.Header.Get(unreachableHeader) != "" {
		t.releaseConn(o, discardBody(o.response.Body))
		t.countRelay("unreachable")
		t.logAttempt("unreachable", nil)
		return true
	}
	t.attempts++
	if t.mayStream(o) {
		return t.relayEvents(o)
	}
	if t.responseStarted {
		t.breakOff(o, "peer rejected the request")
	}
	body, whole, err := t.bufferResponse(o.response)
	if whole {
		t.releaseConn(o, err)
	}
	if err != nil {
		return t.handleRelayBroken("no answer", fmt.Errorf("body: %w", err))
	}
	t.countRelay("answered")
	t.mayHaveRun = t.mayHaveRun || o.meta.ByTarget() || !o.meta.ImpliesNotRun()
	if t.mayHaveRun && o.meta.ImpliesNotRun() {
		t.dropPart(o, body, whole)
		t.fail(&rejection{status: http.StatusBadGateway, reason: "peer rejected the request, status " + strconv.Itoa(o.meta.Status())})
		return false
	}
	if !whole {
		t.streamBody(ctx, nil, o, body)
		return false
	}
	t.writeResponse(o, body)
	return false
}

// relayEvents forwards the events of a stream that a peer relays.
func (t *transaction) relayEvents(o responded) bool {
	t.mayHaveRun = true
	err := t.copyEvents(nil, o, func() {})
	t.releaseConn(o, err)
	if err == nil {
		t.startResponse(o)
		t.countRelay("answered")
		t.logEnd(o.meta.Status(), "answered", nil)
		return false
	}
	t.abortIfCallerGone(err)
	return t.handleRelayBroken("stream broke off", err)
}
