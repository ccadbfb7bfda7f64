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
	maxRecalled = 400
	// recallInterval is the time before the first round of questions; it doubles
	// from one to the next and is spread by half, as all routers may start at
	// the same time.
	recallInterval    = 200 * time.Millisecond
	maxRecallInterval = 2 * time.Second
	// recallRounds bounds the rounds.
	recallRounds = 8
	// seedRounds is how many rounds the seeds alone are asked.
	seedRounds = 5
	// readyInterval is the time between two looks whether the router serves.
	readyInterval = 50 * time.Millisecond
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
	for !g.Ready() && ctx.Err() == nil {
		sleep(ctx, readyInterval)
	}
	for round := range recallRounds {
		d := min(recallInterval<<round, maxRecallInterval)
		sleep(ctx, d/2+rand.N(d))
		if ctx.Err() != nil {
			return
		}
		if address, found := g.recallPeer(round); found && g.recallFrom(ctx, address) {
			return
		}
		if g.asksEngines(round) {
			g.askEngines(ctx)
			return
		}
	}
	sleep(ctx, settleTime-g.clock.Now().Sub(started))
}

// recallPeer returns whom to ask in a round: one of the other seeds, later the
// first router of the common order.
func (g *Gateway) recallPeer(round int) (address netip.AddrPort, found bool) {
	if round >= seedRounds {
		address, found = g.peers.all()[rota.FirstRouter(g.cfg.Name, g.peers.lately())]
		return address, found
	}
	var others []netip.AddrPort
	for _, a := range g.peers.seedList() {
		if a.String() != g.cfg.PeerAddress {
			others = append(others, a)
		}
	}
	if len(others) == 0 {
		return netip.AddrPort{}, false
	}
	return others[rand.IntN(len(others))], true
}

// asksEngines reports whether this router asks the engines itself, as nobody
// whom it asked knows more: the seeds do, and where none of them is there the
// first router.
func (g *Gateway) asksEngines(round int) bool {
	if round >= seedRounds {
		heard := g.peers.lately()
		return len(heard) > 0 && rota.FirstRouter(g.cfg.Name, heard) == g.cfg.Name
	}
	for _, a := range g.peers.seedList() {
		if a.String() == g.cfg.PeerAddress {
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
		g.memory.RecordFromPeer(fitting.Placement{Prompt: p.Prompt, Target: fitting.Key(p.Target)}, now)
	}
	g.log.Info("placements recalled", "peer", reply.From, "placements", len(reply.Placements))
	return true
}
