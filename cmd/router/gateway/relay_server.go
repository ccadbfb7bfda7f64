package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/peer"
	"vanillalug.example/reception"
)

// maxRelayedRequests is the number of requests that are relayed for peers at a time. More are
// turned away, so that this router's own callers are served.
const maxRelayedRequests = 256

// maxCallBytes bounds the body of a peer's call. Calls have a few fields, of which the longest are
// addresses and lists of targets.
const maxCallBytes = 1 << 20

// PeerHandler serves what other routers send: their calls, and the requests that they relay as
// they don't reach the targets.
func (g *Gateway) PeerHandler() http.Handler {
	calls := peer.NewBeliefsServer(g)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(relayHeader) == "" {
			reception.BufferBody(w, r, maxCallBytes, calls)
			return
		}
		g.serveRelayed(w, r)
	})
}

// serveRelayed serves a request of a peer's caller like one of an own caller, except that it is
// not relayed again.
func (g *Gateway) serveRelayed(w http.ResponseWriter, r *http.Request) {
	from := r.Header.Get(relayHeader)
	attempts, err := strconv.Atoi(r.Header.Get(relayAttemptsHeader))
	if err != nil || attempts < 0 || !g.peers.isMember(from, r.RemoteAddr) {
		g.log.Warn("rejected a relayed request that no router of the fleet sent", "peer", from, "address", r.RemoteAddr)
		w.WriteHeader(http.StatusForbidden)
		return
	}
	defer g.relayed.Add(-1)
	if g.relayed.Add(1) > maxRelayedRequests {
		g.log.Info("rejected a relayed request, as there are too many", "peer", from)
		rejectUnreachable(w)
		return
	}
	r.Header.Del(relayHeader)
	r.Header.Del(relayAttemptsHeader)
	t := g.newTransaction(w, r)
	t.relayedBy, t.attempts = from, attempts
	t.serve()
}

// rejectRelayed returns a rejection of a request that a peer relayed if its targets can't be
// reached from here either, or nil.
func (t *transaction) rejectRelayed() *rejection {
	if t.relayedBy == "" || t.mayHaveRun || !t.g.detours.Unreachable(t.service) {
		return nil
	}
	t.w.Header().Set(unreachableHeader, "1")
	return &rejection{status: http.StatusServiceUnavailable, reason: "targets can't be reached"}
}

// rejectUnreachable tells the peer to relay the request to another router.
func rejectUnreachable(w http.ResponseWriter) {
	w.Header().Set(unreachableHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// isMember reports whether an address is that of the router with the name, as the store or that
// router itself has told.
func (p *peers) isMember(name, remote string) bool {
	from, err := netip.ParseAddrPort(remote)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, known := p.known[name]
	return known && r.address.Addr() == from.Addr().Unmap()
}

// dialPeer opens a connection from the address at which the peers know this router.
func (g *Gateway) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	own, err := netip.ParseAddrPort(g.cfg.PeerAddress)
	if err != nil {
		return nil, err
	}
	return channel.DialFrom(ctx, own.Addr(), address)
}

// WaitIdle waits until no request is in flight, also none that a peer relayed.
func (g *Gateway) WaitIdle(ctx context.Context) {
	for g.inFlight.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, idleCheckInterval)
	}
}

// idleCheckInterval is the time between two checks of the requests in flight.
const idleCheckInterval = 20 * time.Millisecond
