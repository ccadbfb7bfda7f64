package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/fitting"
	"vanillalug.example/platform"
)

const (
	// cachedTimeout is the timeout of the query to one engine.
	queryTimeout = 500 * time.Millisecond
	// maxCachedCalls is how many engines are queried concurrently.
	maxConcurrentQueries = 4
	// maxQueriedEngines is how many engines of a service one router queries.
	maxQueriedEngines = 150
	// minCachedTokens is the shortest part that is worth indexing, in tokens.
	minCachedTokens = 512
	// maxCachedResponse is how much of a response is read, in bytes.
	maxQueryResponse = 1 << 20
)

// queryEngines queries the engines for the prompts that they have cached, a
// random sample if a service has very many.
func (g *Gateway) queryEngines(ctx context.Context) {
	active := g.table.Load()
	if active == nil {
		return
	}
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentQueries)
	for service, upstreams := range g.upstreams.Load().byService {
		if s, ok := active.table.Service(service); !ok || s.Engine() == nil {
			continue
		}
		for _, u := range sample(upstreams, maxQueriedEngines) {
			calls.Go(func() error {
				g.queryEngine(ctx, u)
				return nil
			})
		}
	}
	if err := calls.Wait(); err != nil {
		g.log.Warn("cannot query the engines", "error", err)
	}
}

// sample returns at most n of the upstreams, chosen at random.
func sample(upstreams []*upstream, n int) []*upstream {
	if len(upstreams) <= n {
		return upstreams
	}
	out := slices.Clone(upstreams)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:n]
}

func (g *Gateway) queryEngine(ctx context.Context, u *upstream) {
	if !g.mayReach(u) || u.pausedFor(g.clock.Now()) > 0 || g.hasLimit(u) {
		return
	}
	cached, err := g.fetchCachedParts(ctx, u)
	if err != nil {
		g.log.Warn("cannot get the cached prompts of an engine", "target", u.target.Incarnation(), "error", err)
		return
	}
	now := g.clock.Now()
	recorded := 0
	for _, part := range cached {
		if part.Tokens() < minCachedTokens {
			continue
		}
		recorded++
		g.cacheIndex.RecordFromPeer(fitting.Placement{Prompt: fitting.PromptKey(part.Model(), part.ID()), Target: u.key}, now)
	}
	g.log.Info("cached prompts known", "target", u.target.Incarnation(), "parts", recorded, "of", len(cached))
}

// fetchCachedParts queries an engine for the parts of prompts that it has cached.
func (g *Gateway) fetchCachedParts(ctx context.Context, u *upstream) ([]platform.CachedPart, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	conn, err := u.pool.Get(ctx, g.clock.Now(), channel.Limits{})
	if err != nil {
		return nil, fmt.Errorf("Gateway.fetchCachedParts: %w", err)
	}
	// The response has no request id, so the connection can't be reused.
	defer conn.Discard()
	if !g.mayReach(u) {
		return nil, errors.New("Gateway.fetchCachedParts: the target is evacuated")
	}
	if err := conn.SetDeadline(time.Now().Add(queryTimeout)); err != nil {
		return nil, fmt.Errorf("Gateway.fetchCachedParts: %w", err)
	}
	if _, err := conn.Write(platform.CachedPartsRequest(u.target.Address())); err != nil {
		return nil, fmt.Errorf("Gateway.fetchCachedParts: %w", err)
	}
	response, err := conn.ReadResponse(http.MethodGet, nil)
	if err != nil {
		return nil, fmt.Errorf("Gateway.fetchCachedParts: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	g.observeState(u, platform.ReadResponse(response), "")
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("Gateway.fetchCachedParts: status %d", response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxQueryResponse))
	if err != nil {
		return nil, fmt.Errorf("Gateway.fetchCachedParts: %w", err)
	}
	return platform.DecodeCachedParts(raw)
}
