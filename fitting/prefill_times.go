package fitting

import (
	"sync"
	"time"
)

// PrefillTimes holds how long the engines of each service take for the prompt tokens that are ahead
// of a first event, including the request's own. Parts of prompts that are cached count as tokens
// but take no time, so that the time depends on the service. It is safe for concurrent use.
type PrefillTimes struct {
	mu    sync.Mutex
	lines map[string]line
}

// line is fitted to times by tokens with exponentially decaying weights. It doesn't begin at 0, as
// a target that takes long for any prompt is not short of prefill time.
type line struct {
	known                                bool
	tokens, time, tokensByTime, tokensSq float64
}

// NewPrefillTimes returns an empty PrefillTimes.
func NewPrefillTimes() *PrefillTimes { return &PrefillTimes{lines: map[string]line{}} }

// Observe adds the time to the first event of a request that did not wait for a slot, with the
// prompt tokens at its engine.
func (t *PrefillTimes) Observe(service string, tokens int, d time.Duration) {
	if tokens <= 0 || d < 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lines[service]
	weight := meanWeight
	if !l.known {
		weight = 1
	}
	n, ms := float64(tokens), d.Seconds()*1000
	t.lines[service] = line{
		known: true, tokens: l.tokens + weight*(n-l.tokens), time: l.time + weight*(ms-l.time),
		tokensByTime: l.tokensByTime + weight*(n*ms-l.tokensByTime), tokensSq: l.tokensSq + weight*(n*n-l.tokensSq),
	}
}

// PerThousand returns the time that a thousand more tokens take; 0 if unknown.
func (t *PrefillTimes) PerThousand(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lines[service]
	variance := l.tokensSq - l.tokens*l.tokens
	if variance <= 0 {
		return 0
	}
	slope := (l.tokensByTime - l.tokens*l.time) / variance
	return time.Duration(max(slope, 0) * 1000 * float64(time.Millisecond))
}
