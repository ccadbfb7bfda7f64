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
	// catchUpPause is the mean time between two calls one after the other.
	catchUpPause = 120 * time.Millisecond
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

// applyReply applies a peer's reply to a request that was sent with the versions. The
// view ignores a registry that is older than the one that it has by now.
func (g *Gateway) applyReply(reply *peer.GetBeliefsReply, address netip.AddrPort, current versions) {
	found := g.routerAddresses(reply.Routers)
	found[reply.From] = address
	g.peers.add(found)
	g.handleDefects(reply.From, reply.Defects)
	if reply.DefectsComplete {
		g.logbook.SetKnown()
	}
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
	return g.getBeliefs(ctx, address, current, r)
}

// getBeliefs is callPeer within the limits of the context.
func (g *Gateway) getBeliefs(
	ctx context.Context, address netip.AddrPort, current versions, r *peer.GetBeliefsRequest,
) (*peer.GetBeliefsReply, error) {
	r.PlanVersion, r.RegistryDigest, r.ReadsCompressed = current.table, current.registryDigest, true
	r.RegistryRevision, r.RegistryEpoch = current.registry.Number(), current.registry.Epoch()
	r.PlanDigest = g.tableDigest()
	r.From = &peer.RouterAddress{Name: g.cfg.Name, Address: g.cfg.PeerAddress}
	client := peer.NewBeliefsProtobufClient("http://"+address.String(), g.peerClient)
	return client.GetBeliefs(ctx, r)
}
