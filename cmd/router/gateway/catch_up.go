package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"vanillalug.example"
	"vanillalug.example/crew"
	"vanillalug.example/peer"
	"vanillalug.example/reception"
)

const (
	// storeHeadStart is how long to wait for the store to deliver what a peer has
	// already.
	storeHeadStart = 250 * time.Millisecond
	// catchUpJitter spreads the requests of routers that don't poll the store.
	catchUpJitter = 60 * time.Millisecond
	// catchUpRounds is how many peers are asked one after the other, and catchUpPause
	// the mean time between two of them.
	catchUpRounds = 8
	catchUpPause  = 120 * time.Millisecond
	// peerTableTime is how long peers have to deliver a routing table before it is read
	// from the store, where it isn't compressed.
	peerTableTime = 500 * time.Millisecond
	// largeTable is the size in bytes from which a routing table takes much of a narrow
	// link.
	largeTable = 48 << 10
	// peerCallTimeout is how long a peer's reply may take to begin, and how long it may
	// stop arriving.
	peerCallTimeout = 1500 * time.Millisecond
)

// versions are the versions of the routing table and the registry that a router
// uses.
type versions struct {
	table          uint64
	registry       vanillalug.StoreRevision
	registryDigest uint64
}

// behind reports whether a peer has something newer.
func (v versions) behind(reported peerVersions) bool {
	return reported.table > v.table || v.registryBehind(reported)
}

func (v versions) registryBehind(reported peerVersions) bool {
	if !reported.registry.After(v.registry) {
		return false
	}
	return reported.registryDigest != v.registryDigest || reported.registry.Epoch() != v.registry.Epoch()
}

// matches reports whether a peer has the same registry.
func (v versions) matches(reported peerVersions) bool {
	return reported.registryDigest == v.registryDigest && reported.registry.Epoch() == v.registry.Epoch()
}

func (g *Gateway) versions() versions {
	var v versions
	if registry := g.registryVersion.Load(); registry != nil {
		v = *registry
	}
	if active := g.table.Load(); active != nil {
		v.table = active.table.Version()
	}
	return v
}

// requestCatchUp wakes the catchUp loop if it is waiting.
func (g *Gateway) requestCatchUp() {
	select {
	case g.catchUpSignal <- struct{}{}:
	default:
	}
}

// catchUp requests state from a more recent peer if the store does not deliver it
// in time.
func (g *Gateway) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.catchUpSignal:
		}
		if g.followsStore() {
			sleep(ctx, storeHeadStart)
		} else {
			sleep(ctx, rand.N(catchUpJitter))
		}
		g.syncFromPeersAhead(ctx)
	}
}

// syncFromPeersAhead asks peers that are ahead until none of them is, and polls the
// store for what they don't deliver.
func (g *Gateway) syncFromPeersAhead(ctx context.Context) {
	start := g.clock.Now()
	var registryPolled, tablePolled bool
	for range catchUpRounds {
		ahead, found := g.peers.mostAhead(g.versions())
		if !found || ctx.Err() != nil {
			return
		}
		g.syncFromPeer(ctx, ahead.address, tablePolled)
		current := g.versions()
		if !current.behind(ahead) {
			continue
		}
		if !registryPolled && current.registryBehind(ahead) {
			g.watchers.registry.interrupt()
			registryPolled = true
		}
		if !tablePolled && ahead.table > current.table && g.clock.Now().Sub(start) >= peerTableTime {
			g.watchers.table.interrupt()
			tablePolled = true
		}
		sleep(ctx, catchUpPause/2+rand.N(catchUpPause))
	}
}

// syncFromPeer requests what a peer has beyond this router and applies it. A peer that
// doesn't compress a large routing table sends it only if insist is set.
func (g *Gateway) syncFromPeer(ctx context.Context, address netip.AddrPort, insist bool) {
	current := g.versions()
	g.tableLag.call()
	start := g.clock.Now()
	reply, err := g.callPeer(ctx, address, current, &peer.GetBeliefsRequest{Insist: insist})
	if err != nil {
		countTableTransfer(tableFromPeer, "failed", 0)
		g.log.Warn("a peer did not tell what it knows", "peer", address.String(), "version", current.table,
			"revision", current.registry, "after", g.clock.Now().Sub(start).String(), "error", err)
		return
	}
	g.applyReply(reply, address, current)
}

// applyReply applies a peer's reply to a request that was sent with the versions. The
// view ignores a registry that is older than the one that it has by now.
func (g *Gateway) applyReply(reply *peer.GetBeliefsReply, address netip.AddrPort, current versions) {
	found := g.routerAddresses(reply.Routers)
	found[reply.From] = address
	g.peers.add(found)
	g.handleDefects(reply.From, reply.Defects)
	g.applyPeerEvacuations(reply)
	g.applyPeerTable(reply, "peer "+address.String())
	if registryRevision(reply).After(current.registry) {
		g.recordColdBeliefs(reply)
		g.updateView(registryUpdate(reply, current.registryDigest, g.clock.Now()))
		g.watchers.registry.advance(g.versions().registry)
	} else if len(reply.Withdrawn) > 0 {
		g.updateView(crew.Withdrawals{At: g.clock.Now(), Targets: withdrawnTargets(reply.Withdrawn)})
	}
}

// callPeer requests what a peer has beyond the current versions.
func (g *Gateway) callPeer(
	ctx context.Context, address netip.AddrPort, current versions, r *peer.GetBeliefsRequest,
) (*peer.GetBeliefsReply, error) {
	return g.callPeerWithin(ctx, peerCallTimeout, address, current, r)
}

// callPeerWithin is callPeer with a timeout for the reply to begin and to go on.
func (g *Gateway) callPeerWithin(
	ctx context.Context, timeout time.Duration, address netip.AddrPort, current versions, r *peer.GetBeliefsRequest,
) (*peer.GetBeliefsReply, error) {
	ctx, cancel := reception.WithIdleTimeout(ctx, timeout, timeout)
	defer cancel()
	r.PlanVersion, r.RegistryDigest, r.ReadsCompressed = current.table, current.registryDigest, true
	r.RegistryRevision, r.RegistryEpoch = current.registry.Number(), current.registry.Epoch()
	r.From = &peer.RouterAddress{Name: g.cfg.Name, Address: g.cfg.PeerAddress}
	client := peer.NewBeliefsProtobufClient("http://"+address.String(), g.peerClient)
	return client.GetBeliefs(ctx, r)
}
