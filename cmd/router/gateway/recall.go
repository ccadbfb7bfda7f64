package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"vanillalug.example/fitting"
	"vanillalug.example/peer"
)

const (
	// maxRecalled is how many placements a router that has started asks for.
	maxRecalled = 1000
	// recallDelay is the time between two looks for a peer to ask.
	recallDelay = 150 * time.Millisecond
	// recallTries bounds the looks.
	recallTries = 60
)

// recall asks a peer which prompts are cached where, so that a router that was
// restarted sends returning chats to the engines that know them.
func (g *Gateway) recall(ctx context.Context) {
	for range recallTries {
		sleep(ctx, recallDelay/2+rand.N(recallDelay))
		if ctx.Err() != nil {
			return
		}
		address, found := g.peers.any()
		if !found || !g.Ready() {
			continue
		}
		reply, err := g.beliefsOf(ctx, address, g.known(), &peer.GetBeliefsRequest{Placements: maxRecalled})
		if err != nil {
			g.log.Warn("a peer did not tell its placements", "peer", address.String(), "error", err)
			continue
		}
		now := g.clock.Now()
		for _, p := range reply.Placements {
			g.memory.Hear(fitting.Placement{Prompt: p.Prompt, Target: fitting.Key(p.Target)}, now)
		}
		g.log.Info("placements recalled", "peer", reply.From, "placements", len(reply.Placements))
		return
	}
}
