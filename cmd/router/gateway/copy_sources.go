package gateway

import (
	"time"

	"vanillalug.example/crew"
	"vanillalug.example/fitting"
)

// copySource is a target that takes no new requests but still runs, so that others can copy cached
// prompts from it: it would otherwise take with it what is only cached there.
type copySource struct {
	target crew.Target
	state  *targetState
}

// rebuildCopySources updates the targets that are only copied from. The caller holds viewMu.
func (g *Gateway) rebuildCopySources() {
	now := g.clock.Now()
	next := map[string][]copySource{}
	for service, targets := range g.view.Leaving() {
		for _, t := range targets {
			if g.evacuations.has(t.Place()) {
				continue
			}
			next[service] = append(next[service], copySource{target: t, state: g.targetStates.get(t.Incarnation(), now)})
		}
	}
	g.copySources.Store(&next)
}

// copySourcesOf returns the targets of a service that are only copied from and have the prompt of
// the request cached, as candidates.
func (t *transaction) copySourcesOf(service string, now time.Time) []fitting.Candidate {
	prompt, ok := t.req.Work().PromptKey()
	sources := (*t.g.copySources.Load())[service]
	if !ok || len(sources) == 0 {
		return nil
	}
	keys := make([]fitting.Key, len(sources))
	for i, s := range sources {
		keys[i] = s.state.key
	}
	var out []fitting.Candidate
	for i, cached := range t.g.cacheIndex.Cached(prompt, keys, now) {
		if cached {
			out = append(out, fitting.Candidate{
				Target: sources[i].target, Cached: true, Suspect: sources[i].state.suspect(now), SourceOnly: true,
			})
		}
	}
	return out
}
