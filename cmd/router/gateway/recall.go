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
	// maxRecalled is how many placements a router that has started asks for.
	maxRecalled = 1000
	// recallInterval is the time between two rounds of questions; it is spread
	// by half.
	recallInterval = 200 * time.Millisecond
	// recallRounds bounds the rounds.
	recallRounds = 25
	// seedRounds is how many rounds the seeds alone are asked.
	seedRounds = 8
	// settleTime is how long after its start a router has heard the placements
	// in use anyhow.
	settleTime = 15 * time.Second
)

// recall learns which prompts are cached where, so that a router that was
// restarted sends returning chats to the engines that know them. Where nobody
// knows, as all were restarted, the seeds ask the engines for the others.
func (g *Gateway) recall(ctx context.Context) {
	started := g.clock.Now()
	defer g.settled.Store(true)
	for round := range recallRounds {
		sleep(ctx, recallInterval/2+rand.N(recallInterval))
		if ctx.Err() != nil {
			return
		}
		if !g.Ready() {
			continue
		}
		if g.recallFromAny(ctx, g.recallPeers(round)) {
			return
		}
		if g.asksEngines(round) {
			g.askEngines(ctx)
			return
		}
	}
	sleep(ctx, settleTime-g.clock.Now().Sub(started))
}

// recallPeers returns whom to ask in a round: the other seeds, later the first
// router of the common order.
func (g *Gateway) recallPeers(round int) []netip.AddrPort {
	if round >= seedRounds {
		if a, known := g.peers.all()[rota.First(g.cfg.Name, g.peers.lately())]; known {
			return []netip.AddrPort{a}
		}
	}
	var out []netip.AddrPort
	for _, a := range g.peers.seedList() {
		if a.String() != g.cfg.PeerAddress {
			out = append(out, a)
		}
	}
	return out
}

// asksEngines reports whether this router asks the engines itself, as nobody
// whom it asked knows more: the seeds do, and where none of them is there the
// first router.
func (g *Gateway) asksEngines(round int) bool {
	if round >= seedRounds {
		heard := g.peers.lately()
		return len(heard) > 0 && rota.First(g.cfg.Name, heard) == g.cfg.Name
	}
	for _, a := range g.peers.seedList() {
		if a.String() == g.cfg.PeerAddress {
			return true
		}
	}
	return false
}

func (g *Gateway) recallFromAny(ctx context.Context, addresses []netip.AddrPort) bool {
	for _, a := range addresses {
		if g.recallFrom(ctx, a) {
			return true
		}
	}
	return false
}

// recallFrom takes over a peer's placements; it reports whether the peer knows
// those from before its own start.
func (g *Gateway) recallFrom(ctx context.Context, address netip.AddrPort) bool {
	reply, err := g.beliefsOf(ctx, address, g.known(), &peer.GetBeliefsRequest{Placements: maxRecalled})
	if err != nil {
		g.log.Warn("a peer did not tell its placements", "peer", address.String(), "error", err)
		return false
	}
	if !reply.Settled {
		return false
	}
	now := g.clock.Now()
	for _, p := range reply.Placements {
		g.memory.Hear(fitting.Placement{Prompt: p.Prompt, Target: fitting.Key(p.Target)}, now)
	}
	g.log.Info("placements recalled", "peer", reply.From, "placements", len(reply.Placements))
	return true
}
