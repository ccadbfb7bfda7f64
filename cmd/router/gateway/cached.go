package gateway

import (
	"context"
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
	// cachedTimeout bounds the question to one engine.
	cachedTimeout = 500 * time.Millisecond
	// maxCachedCalls is how many engines are asked at once.
	maxCachedCalls = 4
	// maxAsked is how many engines of a service one router asks.
	maxAsked = 150
	// minCached is the shortest part that is worth to be remembered, in tokens.
	minCached = 512
	// maxCachedAnswer bounds what is read of an answer, in bytes.
	maxCachedAnswer = 1 << 20
)

// askEngines asks the engines what they have cached; of very many, some of them.
func (g *Gateway) askEngines(ctx context.Context) {
	p := g.plan.Load()
	if p == nil {
		return
	}
	var calls errgroup.Group
	calls.SetLimit(maxCachedCalls)
	for service, posts := range g.targets.Load().byService {
		if s, ok := p.plan.Service(service); !ok || s.Engine() == nil {
			continue
		}
		for _, p := range sample(posts, maxAsked) {
			calls.Go(func() error {
				g.askEngine(ctx, p)
				return nil
			})
		}
	}
	if err := calls.Wait(); err != nil {
		g.log.Warn("cannot ask the engines", "error", err)
	}
}

// sample returns so many of the posts at most, at random.
func sample(posts []*post, most int) []*post {
	if len(posts) <= most {
		return posts
	}
	out := slices.Clone(posts)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:most]
}

func (g *Gateway) askEngine(ctx context.Context, p *post) {
	held, err := g.cachedAt(ctx, p)
	if err != nil {
		g.log.Warn("an engine did not tell what it has cached", "target", p.target.Incarnation(), "error", err)
		return
	}
	now := g.clock.Now()
	known := 0
	for _, h := range held {
		if h.Tokens() < minCached {
			continue
		}
		known++
		g.memory.RecordFromPeer(fitting.Placement{Prompt: fitting.PromptKey(h.Model(), h.ID()), Target: p.key}, now)
	}
	g.log.Info("cached prompts known", "target", p.target.Incarnation(), "parts", known, "of", len(held))
}

// cachedAt asks an engine what it has cached.
func (g *Gateway) cachedAt(ctx context.Context, p *post) ([]platform.CachedPart, error) {
	ctx, cancel := context.WithTimeout(ctx, cachedTimeout)
	defer cancel()
	conn, err := p.pool.Get(ctx, g.clock.Now(), channel.Limits{})
	if err != nil {
		return nil, fmt.Errorf("Gateway.cachedAt: %w", err)
	}
	// The answer carries no id, so the connection serves no other request.
	defer conn.Discard()
	if err := conn.SetDeadline(time.Now().Add(cachedTimeout)); err != nil {
		return nil, fmt.Errorf("Gateway.cachedAt: %w", err)
	}
	if _, err := conn.Write(platform.CachedPartsRequest(p.target.Address())); err != nil {
		return nil, fmt.Errorf("Gateway.cachedAt: %w", err)
	}
	response, err := conn.ReadResponse(http.MethodGet)
	if err != nil {
		return nil, fmt.Errorf("Gateway.cachedAt: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("Gateway.cachedAt: status %d", response.StatusCode)
	}
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxCachedAnswer))
	if err != nil {
		return nil, fmt.Errorf("Gateway.cachedAt: %w", err)
	}
	return platform.DecodeCachedParts(raw)
}
