package desk

import (
	"math/rand/v2"
	"time"
)

const (
	// reserveDivisor sets aside one part in so many of an engine for the
	// workspaces that run less than their fair share there.
	reserveDivisor = 4
	// activeWindow is how long a workspace counts after its last request.
	activeWindow = 30 * time.Second
	// reportLifetime is how long the engine's own count is believed.
	reportLifetime = 5 * time.Second
	minRetryAfter  = time.Second
	maxRetryAfter  = 60 * time.Second
	rateSmoothing  = 0.2
	// rateSamples is the number of finished requests before the rate counts.
	rateSamples = 8
)

type options struct {
	random func() float64
}

// Option changes a new Desk.
type Option func(*options)

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(random func() float64) Option {
	return func(o *options) { o.random = random }
}

func defaultOptions() options { return options{random: rand.Float64} }
