package stage

import "time"

// Config is the size and the speed of a fleet.
type Config struct {
	routers  int
	engines  int
	workers  int
	slots    int
	interval time.Duration
	prefill  time.Duration
	cache    int
	balancerDelay time.Duration
	timesKeys map[string]string
	fleetKeys    map[string]string
}

// Option changes a new Plan.
type Option func(*Config)

// WithRouters sets the number of routers.
func WithRouters(n int) Option { return func(p *Config) { p.routers = n } }

// WithEngines sets the number of engines.
func WithEngines(n int) Option { return func(p *Config) { p.engines = n } }

// WithWorkers sets the number of booking workers.
func WithWorkers(n int) Option { return func(p *Config) { p.workers = n } }

// WithSlots sets the number of requests that an engine runs at once.
func WithSlots(n int) Option { return func(p *Config) { p.slots = n } }

// WithTokenInterval sets the time between two tokens of an engine.
func WithTokenInterval(d time.Duration) Option { return func(p *Config) { p.interval = d } }

// WithPrefill sets the time that an engine needs for a prompt token.
func WithPrefill(d time.Duration) Option { return func(p *Config) { p.prefill = d } }

// WithCacheTokens sets the size of an engine's cache.
func WithCacheTokens(n int) Option { return func(p *Config) { p.cache = n } }

// WithBalancerDelay sets how long a leaving router waits for the balancer.
func WithBalancerDelay(d time.Duration) Option { return func(p *Config) { p.balancerDelay = d } }

// WithTimesKey sets a key of the section "times" of every router's settings.
func WithTimesKey(key, value string) Option { return func(p *Config) { p.timesKeys[key] = value } }

// WithFleetKey sets a key of the section "fleet" of the first document.
func WithFleetKey(key, value string) Option { return func(p *Config) { p.fleetKeys[key] = value } }

func newConfig(opts ...Option) *Config {
	p := &Config{
		routers: 3, engines: 3, workers: 2, slots: 16, interval: 10 * time.Millisecond,
		prefill: 10 * time.Microsecond, cache: 1_000_000, balancerDelay: 300 * time.Millisecond,
		timesKeys: map[string]string{}, fleetKeys: map[string]string{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// fastestPrefill is declared for engines that take no time for prompts.
const fastestPrefill = 1_000_000

// prefillRate returns the prompt tokens a second that the engines take.
func (p *Config) prefillRate() int {
	if p.prefill == 0 {
		return fastestPrefill
	}
	return int(time.Second / p.prefill)
}
