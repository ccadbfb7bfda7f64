package fitting

import (
	"sync"
	"time"
)

// shortestGrowth is the growth of the shortest time with each observation, by which it follows
// targets that become slower.
const shortestGrowth = 1.001

// PrefillTimes holds how long the engines of each service take for the prompt tokens that are ahead
// of a first event, including the request's own. Parts of prompts that are cached count as tokens
// but take no time, so that the time depends on the service. It is safe for concurrent use.
type PrefillTimes struct {
	mu    sync.Mutex
	lines map[string]line
}

// line is fitted to times by tokens with exponentially decaying weights. It begins at the shortest
// time, as a target that takes long for any prompt is not short of prefill time.
type line struct{ shortest, tokensByTime, tokensSquared float64 }

// NewPrefillTimes returns an empty PrefillTimes.
func NewPrefillTimes() *PrefillTimes { return &PrefillTimes{lines: map[string]line{}} }

// Observe adds the time to the first event of a request that did not wait for a slot, with the
// prompt tokens at its engine.
func (t *PrefillTimes) Observe(service string, tokens int, d time.Duration) {
	if tokens <= 0 || d <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	n, spent := float64(tokens), float64(d)
	l := t.lines[service]
	if l.shortest == 0 {
		l.shortest = spent
	}
	l.shortest = min(l.shortest*shortestGrowth, spent)
	l.tokensByTime += meanWeight * (n*(spent-l.shortest) - l.tokensByTime)
	l.tokensSquared += meanWeight * (n*n - l.tokensSquared)
	t.lines[service] = l
}

// PerThousand returns the time that a thousand more tokens take; 0 if unknown.
func (t *PrefillTimes) PerThousand(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lines[service]
	if l.tokensSquared == 0 {
		return 0
	}
	return time.Duration(1000 * l.tokensByTime / l.tokensSquared)
}
