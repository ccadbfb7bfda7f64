package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

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
	// largeTable is the size in bytes from which a routing table is read from the
	// store, as the links of peers are narrow.
	largeTable = 48 << 10
	// storeReadTime is how long the store may take for that.
	storeReadTime = 500 * time.Millisecond
	// peerCallTimeout is how long a peer's reply may take to begin, and how long it may
	// stop arriving.
	peerCallTimeout = 1500 * time.Millisecond
	// seedInterval is the time between two requests to seeds, with a jitter of
	// ±50%.
	seedInterval = 300 * time.Millisecond
	// seedsPerRound is the number of seeds that are asked at once.
	seedsPerRound = 2
	// seedTimeout is peerCallTimeout for seeds: one that does not respond delays the
	// other's reply.
	seedTimeout = 600 * time.Millisecond
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
		best, ok := g.peers.mostAhead(g.versions())
		if !ok {
			continue
		}
		g.syncFromPeer(ctx, best.address, false)
		if !g.pollStoreNow(best) {
			continue
		}
		sleep(ctx, storeReadTime)
		if g.versions().behind(best) {
			g.syncFromPeer(ctx, best.address, true)
		}
	}
}

// pollStoreNow polls the store for what a peer has beyond this router. It reports
// whether the peer is still ahead.
func (g *Gateway) pollStoreNow(reported peerVersions) bool {
	current := g.versions()
	if reported.table > current.table {
		g.watchers.table.interrupt()
	}
	if current.registryBehind(reported) {
		g.watchers.registry.interrupt()
	}
	return current.behind(reported)
}

// mostAhead returns the peer with the newest versions beyond k.
func (p *peers) mostAhead(current versions) (best peerVersions, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, reported := range p.versions {
		if !current.behind(reported) {
			continue
		}
		if !found || reported.table > best.table || reported.table == best.table && reported.registry.After(best.registry) {
			best, found = reported, true
		}
	}
	return best, found
}

// bootstrap queries the seeds until this router is ready, as the store may reject
// just this one.
func (g *Gateway) bootstrap(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, seedInterval/2+rand.N(seedInterval))
		if g.Ready() {
			return
		}
		g.syncFromSeeds(ctx)
	}
}

// syncFromSeeds applies what the seeds have, that of the most recent one first: one
// that was cut off for long has targets that have left and keys that were revoked.
func (g *Gateway) syncFromSeeds(ctx context.Context) {
	seeds := g.otherSeeds()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	seeds = seeds[:min(len(seeds), seedsPerRound)]
	current := g.versions()
	replies := make([]*peer.GetBeliefsReply, len(seeds))
	var calls errgroup.Group
	for i, address := range seeds {
		calls.Go(func() (err error) {
			replies[i], err = g.callPeerWithin(ctx, seedTimeout, address, current, &peer.GetBeliefsRequest{Insist: true})
			if err != nil {
				g.log.Warn("cannot get the state of a seed", "peer", address.String(), "error", err)
			}
			return nil
		})
	}
	if err := calls.Wait(); err != nil {
		g.log.Warn("cannot ask the seeds", "error", err)
	}
	for _, i := range newestFirst(replies) {
		g.applyReply(replies[i], seeds[i], current)
	}
}

// newestFirst returns the indexes of the replies, those with newer versions first,
// without missing ones.
func newestFirst(replies []*peer.GetBeliefsReply) []int {
	var out []int
	for i, r := range replies {
		if r != nil {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(replies[b].PlanVersion, replies[a].PlanVersion),
			registryRevision(replies[b]).Compare(registryRevision(replies[a])))
	})
	return out
}

// syncFromPeer requests what a peer has beyond this router and applies it. The
// peer sends a large routing table only if insist is set.
func (g *Gateway) syncFromPeer(ctx context.Context, address netip.AddrPort, insist bool) {
	current := g.versions()
	reply, err := g.callPeer(ctx, address, current, &peer.GetBeliefsRequest{Insist: insist})
	if err != nil {
		g.log.Warn("a peer did not tell what it knows", "peer", address.String(), "version", current.table,
			"revision", current.registry, "error", err)
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
	if len(reply.Plan) > 0 {
		g.applyTable(reply.Plan, planRevision(reply), "peer "+address.String())
		g.watchers.table.advance(planRevision(reply))
	}
	if registryRevision(reply).After(current.registry) {
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
	r.PlanVersion, r.RegistryDigest = current.table, current.registryDigest
	r.RegistryRevision, r.RegistryEpoch = current.registry.Number(), current.registry.Epoch()
	r.From = &peer.RouterAddress{Name: g.cfg.Name, Address: g.cfg.PeerAddress}
	client := peer.NewBeliefsProtobufClient("http://"+address.String(), g.peerClient)
	return client.GetBeliefs(ctx, r)
}
