package gateway

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"vanillalug.example/fitting"
	"vanillalug.example/peer"
	"vanillalug.example/rota"
)

const (
	// maxWarmUpPlacements is how many placements are requested from a peer.
	maxWarmUpPlacements = 400
	// warmUpInterval is the time before the first round of requests. It doubles
	// with each round and has a jitter of ±50%, as all routers may start at the
	// same time.
	warmUpInterval    = 200 * time.Millisecond
	maxWarmUpInterval = 2 * time.Second
	// warmUpRounds is the maximum number of rounds.
	warmUpRounds = 8
	// seedRounds is the number of rounds in which only seeds are asked.
	seedRounds = 5
	// readyInterval is the time between two checks whether the router is ready.
	readyInterval = 50 * time.Millisecond
	// maxWarmUpTime is the time after the start by which the shares of peers have
	// brought the placements in use.
	maxWarmUpTime = 15 * time.Second
)

// warmUp fills the cache index after a start, so that a restarted router sends
// returning chats to the engines that have them cached. It asks peers; if none
// of them has an index, as all were restarted, the seeds query the engines.
func (g *Gateway) warmUp(ctx context.Context) {
	started := g.clock.Now()
	defer g.warmedUp.Store(true)
	for !g.Ready() && ctx.Err() == nil {
		sleep(ctx, readyInterval)
	}
	for round := range warmUpRounds {
		d := min(warmUpInterval<<round, maxWarmUpInterval)
		sleep(ctx, d/2+rand.N(d))
		if ctx.Err() != nil {
			return
		}
		if address, found := g.warmUpPeer(round); found && g.warmUpFrom(ctx, address) {
			return
		}
		if g.queriesEngines(round) {
			g.queryEngines(ctx)
			return
		}
	}
	sleep(ctx, maxWarmUpTime-g.clock.Now().Sub(started))
}

// warmUpPeer returns the peer to ask in a round: one of the other seeds, and
// after seedRounds the router that is first in the order that all routers share.
func (g *Gateway) warmUpPeer(round int) (address netip.AddrPort, found bool) {
	if round >= seedRounds {
		address, found = g.peers.all()[rota.FirstRouter(g.cfg.Name, g.peers.alive())]
		return address, found
	}
	others := g.otherSeeds()
	if len(others) == 0 {
		return netip.AddrPort{}, false
	}
	return others[rand.IntN(len(others))], true
}

// queriesEngines reports whether this router queries the engines, as no peer had
// an index: the seeds do, and the first router if no seed is alive.
func (g *Gateway) queriesEngines(round int) bool {
	if round >= seedRounds {
		alive := g.peers.alive()
		return len(alive) > 0 && rota.FirstRouter(g.cfg.Name, alive) == g.cfg.Name
	}
	for _, a := range g.peers.seedList() {
		if a.String() == g.cfg.PeerAddress {
			return true
		}
	}
	return false
}

// warmUpFrom adds a peer's placements to the index. It reports whether the peer
// was warmed up itself.
func (g *Gateway) warmUpFrom(ctx context.Context, address netip.AddrPort) bool {
	reply, err := g.callPeer(ctx, address, g.versions(), &peer.GetBeliefsRequest{Placements: maxWarmUpPlacements})
	if err != nil {
		g.log.Warn("a peer did not tell its placements", "peer", address.String(), "error", err)
		return false
	}
	g.handleDefects(reply.From, reply.Defects)
	if !reply.Settled {
		return false
	}
	now := g.clock.Now()
	for _, p := range reply.Placements {
		g.cacheIndex.RecordFromPeer(fitting.Placement{Prompt: p.Prompt, Target: fitting.Key(p.Target)}, now)
	}
	g.log.Info("placements recalled", "peer", reply.From, "placements", len(reply.Placements))
	return true
}
