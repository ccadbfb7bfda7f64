package desk

import (
	"math/rand/v2"
	"time"
)

const (
	// reserveDivisor reserves 1/reserveDivisor of an engine's capacity for the
	// workspaces that do not run far more than their fair share there.
	reserveDivisor = 4
	// reserveFactor is the multiple of its fair share up to which a workspace
	// with a short queue may use the reserve. A workspace with a long queue may
	// use the reserve only up to its fair share.
	reserveFactor = 3
	// longQueue is the number of queued requests above which a workspace counts
	// as surging. A few requests that arrive together are not a surge.
	longQueue = 3
	// activeWindow is how long a workspace counts for fair shares after its last
	// request.
	activeWindow = 30 * time.Second
	// reportTTL is how long the engine's own count is used.
	reportTTL = 5 * time.Second
	// balanceSlack is how many requests above the mean load an engine must be to
	// redirect an uncached request, and how many below it the other engine.
	balanceSlack  = 0.5
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
	// rateSmoothing is the weight of a new sample in the moving average.
	rateSmoothing = 0.2
	// rateSamples is the number of samples before the drain rate is used.
	rateSamples = 8
)

type options struct {
	random func() float64
}

// Option configures a new Controller.
type Option func(*options)

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(random func() float64) Option {
	return func(o *options) { o.random = random }
}

func defaultOptions() options { return options{random: rand.Float64} }
