package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillalug.example/peer"
)

const (
	// seedInterval is the time between two requests to seeds, with a jitter of
	// ±50%.
	seedInterval = 300 * time.Millisecond
	// seedsPerRound is the number of seeds that are asked at once.
	seedsPerRound = 2
	// seedTimeout is peerCallTimeout for seeds: one that does not respond delays the
	// other's reply.
	seedTimeout = 600 * time.Millisecond
)

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
