package desk

import (
	"math/rand/v2"
	"time"
)

const (
	// reserveDivisor sets aside one part in so many of an engine for the
	// workspaces that do not run far more than their fair share there.
	reserveDivisor = 4
	// reserveFactor is the multiple of its fair share up to which a workspace
	// with a short queue may use what is set aside; one with a long queue may
	// use its fair share only.
	reserveFactor = 3
	// longQueue is the number of waiting requests by which a surge is told
	// from a few requests that happen to come together.
	longQueue = 3
	// activeWindow is how long a workspace counts after its last request.
	activeWindow = 30 * time.Second
	// reportLifetime is how long the engine's own count is believed.
	reportLifetime = 5 * time.Second
	// balanceSlack is how far above the mean an engine has to be to send a
	// fresh chat away, and how far below it one that takes it.
	balanceSlack  = 0.5
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
	rateSmoothing = 0.2
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
