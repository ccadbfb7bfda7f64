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

// Option changes a new Engine.
type Option func(*options)

// WithModels sets the models that are loaded.
func WithModels(models []string) Option { return func(o *options) { o.models = models } }

// WithSlots sets the number of requests that run at once.
func WithSlots(n int) Option { return func(o *options) { o.slots = n } }

// WithCacheTokens sets the number of prompt tokens that the cache holds.
func WithCacheTokens(n int) Option { return func(o *options) { o.cache = n } }

// WithTokenInterval sets the time between two tokens.
func WithTokenInterval(d time.Duration) Option { return func(o *options) { o.interval = d } }

// WithPrefill sets the time for each prompt token that is not cached.
func WithPrefill(d time.Duration) Option { return func(o *options) { o.prefill = d } }

// WithReportLag sets how old the reports of load are.
func WithReportLag(d time.Duration) Option { return func(o *options) { o.lag = d } }

// WithFencing makes the engine refuse orders with an old fencing number.
func WithFencing(on bool) Option { return func(o *options) { o.fenced = on } }
