package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"vanillalug.example/peer"
)

const (
	// behindDelay is how long the store may take to tell what a peer knows
	// already.
	behindDelay = 250 * time.Millisecond
	// restingDelay spreads the questions of routers that rely on their peers.
	restingDelay = 60 * time.Millisecond
	// longPlan is the size from which a routing table is read from the store
	// and not from a peer, whose link is narrow, in bytes.
	longPlan = 48 << 10
	// storeTime is how long the store may take for it.
	storeTime = 500 * time.Millisecond
	// beliefsTimeout bounds a call to a peer.
	beliefsTimeout = 1500 * time.Millisecond
	// seedDelay is the time between two questions to seeds; it is spread by half.
	seedDelay = 300 * time.Millisecond
)

// knowledge is which version of everything this router acts on.
type knowledge struct {
	version  uint64
	revision uint64
	digest   uint64
}

// behind reports whether a peer knows something newer.
func (k knowledge) behind(a ahead) bool {
	return a.version > k.version || k.registryBehind(a)
}

func (k knowledge) registryBehind(a ahead) bool {
	return a.revision > k.revision && a.digest != k.digest
}

func (g *Gateway) known() knowledge {
	var k knowledge
	if r := g.registry.Load(); r != nil {
		k = *r
	}
	if p := g.plan.Load(); p != nil {
		k.version = p.plan.Version()
	}
	return k
}

// noticeBehind wakes the loop that catches up, if it sleeps.
func (g *Gateway) noticeBehind() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// catchUp asks a peer for what it knows and the store has not told in time.
func (g *Gateway) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		if g.onDuty() {
			sleep(ctx, behindDelay)
		} else {
			sleep(ctx, rand.N(restingDelay))
		}
		a, ok := g.peers.mostAhead(g.known())
		if !ok {
			continue
		}
		g.askPeer(ctx, a.from, false)
		if !g.askStore(a) {
			continue
		}
		sleep(ctx, storeTime)
		if g.known().behind(a) {
			g.askPeer(ctx, a.from, true)
		}
	}
}

// askStore asks the store at once for what a peer knows beyond this router. It
// reports whether there is any.
func (g *Gateway) askStore(a ahead) bool {
	k := g.known()
	if a.version > k.version {
		g.watchers.plan.interrupt()
	}
	if k.registryBehind(a) {
		g.watchers.registry.interrupt()
	}
	return k.behind(a)
}

// mostAhead returns the peer that knows most beyond what is known here.
func (p *peers) mostAhead(k knowledge) (best ahead, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range p.ahead {
		if !k.behind(a) {
			continue
		}
		if !found || a.version > best.version || a.version == best.version && a.revision > best.revision {
			best, found = a, true
		}
	}
	return best, found
}

// askSeeds asks the seeds while this router knows nothing, as the store may
// turn away just this one.
func (g *Gateway) askSeeds(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, seedDelay/2+rand.N(seedDelay))
		if g.Ready() {
			return
		}
		seeds := g.peers.seedList()
		if len(seeds) > 0 {
			g.askPeer(ctx, seeds[rand.IntN(len(seeds))], true)
		}
	}
}

// askPeer takes over what a peer knows beyond this router. Without insisting it
// gets no long routing table.
func (g *Gateway) askPeer(ctx context.Context, address netip.AddrPort, insist bool) {
	k := g.known()
	reply, err := g.beliefsOf(ctx, address, k, &peer.GetBeliefsRequest{Insist: insist})
	if err != nil {
		g.log.Warn("a peer did not tell what it knows", "peer", address.String(), "version", k.version,
			"revision", k.revision, "error", err)
		return
	}
	found := g.routersOf(reply.Routers)
	found[reply.From] = address
	g.peers.add(found)
	if len(reply.Plan) > 0 {
		g.applyPlan(reply.Plan, reply.PlanRevision, "peer "+address.String())
		g.watchers.plan.advance(reply.PlanRevision)
	}
	if reply.RegistryRevision > k.revision {
		g.handle(news(reply, k.digest, g.clock.Now()))
		g.watchers.registry.advance(g.known().revision)
	}
}

// beliefsOf asks a peer for what it knows beyond k.
func (g *Gateway) beliefsOf(
	ctx context.Context, address netip.AddrPort, k knowledge, r *peer.GetBeliefsRequest,
) (*peer.GetBeliefsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, beliefsTimeout)
	defer cancel()
	r.PlanVersion, r.RegistryRevision, r.RegistryDigest = k.version, k.revision, k.digest
	r.From = &peer.RouterAddress{Name: g.cfg.Name, Address: g.cfg.PeerAddress}
	client := peer.NewBeliefsProtobufClient("http://"+address.String(), g.peerClient)
	return client.GetBeliefs(ctx, r)
}
