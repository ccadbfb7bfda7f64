package stage

import "time"

// Config has the size of a fleet, the speed of its simulated engines and extra
// settings.
type Config struct {
	routers       int
	engines       int
	workers       int
	slots         int
	interval      time.Duration
	prefill       time.Duration
	cache         int
	balancerDelay time.Duration
	timesKeys     map[string]string
	fleetKeys     map[string]string
}

// Option sets an option of a new Config.
type Option func(*Config)

// WithRouters sets the number of routers.
func WithRouters(n int) Option { return func(c *Config) { c.routers = n } }

// WithEngines sets the number of engines.
func WithEngines(n int) Option { return func(c *Config) { c.engines = n } }

// WithWorkers sets the number of workers of each service.
func WithWorkers(n int) Option { return func(c *Config) { c.workers = n } }

// WithSlots sets the number of requests that an engine runs at once.
func WithSlots(n int) Option { return func(c *Config) { c.slots = n } }

// WithTokenInterval sets the time between two tokens of an engine.
func WithTokenInterval(d time.Duration) Option { return func(c *Config) { c.interval = d } }

// WithPrefill sets an engine's prefill time per prompt token.
func WithPrefill(d time.Duration) Option { return func(c *Config) { c.prefill = d } }

// WithCacheTokens sets the capacity of an engine's cache in prompt tokens.
func WithCacheTokens(n int) Option { return func(c *Config) { c.cache = n } }

// WithBalancerDelay sets how long a router that drains keeps serving until the
// load balancer has noticed it.
func WithBalancerDelay(d time.Duration) Option { return func(c *Config) { c.balancerDelay = d } }

// WithTimesKey sets a key of the section "times" of every router's settings.
func WithTimesKey(key, value string) Option { return func(c *Config) { c.timesKeys[key] = value } }

// WithFleetKey sets a key of the section "fleet" of the first document.
func WithFleetKey(key, value string) Option { return func(c *Config) { c.fleetKeys[key] = value } }

func newConfig(opts ...Option) *Config {
	c := &Config{
		routers: 3, engines: 3, workers: 2, slots: 16, interval: 10 * time.Millisecond,
		prefill: 10 * time.Microsecond, cache: 1_000_000, balancerDelay: 300 * time.Millisecond,
		timesKeys: map[string]string{}, fleetKeys: map[string]string{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// maxPrefillRate is the declared rate, in tokens per second, of engines whose
// prefill takes no time.
const maxPrefillRate = 1_000_000

// prefillRate returns the declared prefill rate of the engines, in prompt tokens
// per second.
func (c *Config) prefillRate() int {
	if c.prefill == 0 {
		return maxPrefillRate
	}
	return int(time.Second / c.prefill)
}
