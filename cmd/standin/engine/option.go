package engine

import "time"

type options struct {
	models   []string
	slots    int
	cache    int
	interval time.Duration
	prefill  time.Duration
	lag      time.Duration
	fenced   bool
}

// Option sets an option of a new Engine.
type Option func(*options)

// WithModels sets the models that are loaded at the start.
func WithModels(models []string) Option { return func(o *options) { o.models = models } }

// WithSlots sets the number of requests that run at once.
func WithSlots(n int) Option { return func(o *options) { o.slots = n } }

// WithCacheTokens sets the capacity of the prefix cache in prompt tokens.
func WithCacheTokens(n int) Option { return func(o *options) { o.cache = n } }

// WithTokenInterval sets the time between two tokens.
func WithTokenInterval(d time.Duration) Option { return func(o *options) { o.interval = d } }

// WithPrefill sets the prefill time per prompt token that is not cached.
func WithPrefill(d time.Duration) Option { return func(o *options) { o.prefill = d } }

// WithReportLag sets the age of the load that reports contain.
func WithReportLag(d time.Duration) Option { return func(o *options) { o.lag = d } }

// WithFencing makes the engine reject orders with a fencing number below the
// highest that it has received.
func WithFencing(on bool) Option { return func(o *options) { o.fenced = on } }
