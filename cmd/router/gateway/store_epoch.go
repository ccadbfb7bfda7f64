package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/crew"
	"vanillalug.example/peer"
)

const (
	// consultTimeout is how long a starting router waits for its peers at most.
	consultTimeout = time.Second
	// consultRounds is how often the seeds are asked if none responds.
	consultRounds = 3
	consultPause  = 150 * time.Millisecond
	// consultedRouters is the number of routers from the store's list that are asked
	// if no seed responds.
	consultedRouters = 3
)

// observeEpoch handles the epoch of the store that a response or a peer reported.
// If it has risen, the store was restored from an older copy: the tables are read
// whole, and this router registers again. A router that is starting asks its peers
// first what the copy lacks.
func (g *Gateway) observeEpoch(epoch uint64) {
	known := g.storeEpoch.Load()
	if epoch <= known {
		return
	}
	running := g.hasReadStore() || g.Ready()
	if !g.storeEpoch.CompareAndSwap(known, epoch) {
		return
	}
	if !running {
		g.startOnce.Do(func() { close(g.starting) })
		return
	}
	g.consulted.Store(true)
	meter.CountBy("store_restored")
	g.log.Warn("the store was restored from an older copy", "epoch", epoch, "known-epoch", known)
	g.watchers.table.resetBefore(epoch)
	g.watchers.table.interrupt()
	g.watchers.registry.interrupt()
	select {
	case g.registrationLost <- struct{}{}:
	default:
	}
}

// hasReadStore reports whether this router has read a table of the store.
func (g *Gateway) hasReadStore() bool {
	return !g.watchers.table.knownRevision().IsZero() || !g.watchers.registry.knownRevision().IsZero()
}

// mayServe reports whether a router that has started knows what is evacuated and what crashes targets,
// and has asked its
// peers for what a restored store may lack. It needn't if the store was never restored.
func (g *Gateway) mayServe() bool {
	return g.knowsEvacuations() && g.logbook.Known() && (g.storeEpoch.Load() == 0 || g.consulted.Load())
}

// consultPeers asks peers, when this router starts, for a newer routing table than
// that of the store, and for targets that are withdrawn. It ends with the first peer
// that has a routing table, and when nobody has one.
func (g *Gateway) consultPeers(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-g.starting:
	}
	defer g.consulted.Store(true)
	ctx, cancel := context.WithTimeout(ctx, consultTimeout)
	defer cancel()
	for range consultRounds {
		if g.consult(ctx, g.otherSeeds()) {
			return
		}
		sleep(ctx, consultPause)
	}
	g.consult(ctx, g.listedRouters(ctx))
}

// consult asks routers at once and reports whether any of them replied. It returns
// with the first reply of one that has a routing table.
func (g *Gateway) consult(ctx context.Context, routers []netip.AddrPort) (replied bool) {
	replies := make(chan *peer.GetBeliefsReply, len(routers))
	for _, address := range routers {
		go func() { replies <- g.askWithdrawn(ctx, address) }()
	}
	for range routers {
		reply := <-replies
		if reply == nil {
			continue
		}
		replied = true
		if reply.PlanVersion > 0 {
			return true
		}
	}
	return replied
}

// askWithdrawn applies what a peer has beyond this router, including the withdrawn
// targets. It returns nil if the peer does not reply.
func (g *Gateway) askWithdrawn(ctx context.Context, address netip.AddrPort) *peer.GetBeliefsReply {
	current := g.versions()
	reply, err := g.callPeer(ctx, address, current, &peer.GetBeliefsRequest{Insist: true, Starting: true})
	if err != nil {
		g.log.Warn("a peer could not be asked at the start", "peer", address.String(), "error", err)
		return nil
	}
	g.applyStartReply(reply, address, current)
	g.log.Info("peer asked at the start", "peer", reply.From, "version", reply.PlanVersion,
		"withdrawn", len(reply.Withdrawn), "revision", registryRevision(reply))
	return reply
}

// applyStartReply applies a peer's reply at the start. If this router has read the
// registry meanwhile, the view ignores the peer's older one, but not the withdrawn
// targets.
func (g *Gateway) applyStartReply(reply *peer.GetBeliefsReply, address netip.AddrPort, current versions) {
	g.applyReply(reply, address, current)
	g.updateView(crew.Withdrawals{At: g.clock.Now(), Targets: withdrawnTargets(reply.Withdrawn)})
}

// listedRouters returns some of the routers that are registered in the store.
func (g *Gateway) listedRouters(ctx context.Context) []netip.AddrPort {
	if _, err := g.readRouters(ctx); err != nil {
		g.log.Warn("cannot read the routers' addresses", "error", err)
	}
	var out []netip.AddrPort
	for _, address := range g.peers.all() {
		out = append(out, address)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), consultedRouters)]
}

// otherSeeds returns the seeds except this router.
func (g *Gateway) otherSeeds() []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range g.peers.seedList() {
		if a.String() != g.cfg.PeerAddress {
			out = append(out, a)
		}
	}
	return out
}
