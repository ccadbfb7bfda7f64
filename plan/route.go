package plan

import "time"

// Share is the part of a route's requests that a service gets.
type WeightedService struct {
	service string
	weight  int
}

// NewShare returns the share of a service.
func NewWeightedService(service string, weight int) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the name of the service.
func (s WeightedService) Service() string { return s.service }

// Weight returns the weight among the shares of the route.
func (s WeightedService) Weight() int { return s.weight }

// Route sends the requests of a host and path prefix to services.
type Route struct {
	name      string
	host      string
	prefix    string
	kind      Kind
	timeout   time.Duration
	objective time.Duration
	gap       time.Duration
	attempts  int
	priority  int
	public    bool
	resumable bool
	shares    []WeightedService
	weights   int
}

// RouteOption changes a new Route.
type RouteOption func(*Route)

// WithTimes sets the longest time to an answer and the latency objective.
func WithTimes(timeout, objective time.Duration) RouteOption {
	return func(r *Route) { r.timeout, r.objective = timeout, objective }
}

// WithGap sets the longest pause between two events of a stream that is on time.
func WithMaxEventGap(d time.Duration) RouteOption { return func(r *Route) { r.gap = d } }

// WithAttempts sets how many targets one request may be sent to.
func WithMaxAttempts(n int) RouteOption { return func(r *Route) { r.attempts = max(n, 1) } }

// WithPriority sets the rank; 0 is the most urgent.
func WithPriority(n int) RouteOption { return func(r *Route) { r.priority = n } }

// WithPublic lets requests through that carry no key.
func WithPublic(public bool) RouteOption { return func(r *Route) { r.public = public } }

// WithResumable lets a stream go on at another target.
func WithResumable(resumable bool) RouteOption { return func(r *Route) { r.resumable = resumable } }

// NewRoute returns a route to the services by their weights.
func NewRoute(name, host, prefix string, kind Kind, shares []WeightedService, opts ...RouteOption) Route {
	r := Route{name: name, host: host, prefix: prefix, kind: kind, shares: shares, attempts: 1}
	for _, opt := range opts {
		opt(&r)
	}
	for _, s := range shares {
		r.weights += s.weight
	}
	return r
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.name }

// Host returns the host that requests name.
func (r *Route) Host() string { return r.host }

// Prefix returns the path prefix, which begins and ends with a slash.
func (r *Route) Prefix() string { return r.prefix }

// Kind returns what may be repeated.
func (r *Route) Kind() Kind { return r.kind }

// Timeout returns the longest time to a final answer; 0 is none.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Objective returns the latency objective.
func (r *Route) Objective() time.Duration { return r.objective }

// Gap returns the longest pause between events of a stream that is on time.
func (r *Route) MaxEventGap() time.Duration { return r.gap }

// Attempts returns how many targets one request may be sent to.
func (r *Route) MaxAttempts() int { return r.attempts }

// Priority returns the rank; 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// Public reports whether requests need no key.
func (r *Route) Public() bool { return r.public }

// Resumable reports whether a stream may go on at another target.
func (r *Route) Resumable() bool { return r.resumable }

// Repeatable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.kind == Idempotent || r.kind == Streaming && r.resumable
}

// Pick returns the service for a request, by the weights. The hash is that of
// the request's id, so that the same request finds the same service.
func (r *Route) Pick(hash uint64) string {
	if len(r.shares) == 0 {
		return ""
	}
	if r.weights <= 0 {
		return r.shares[0].service
	}
	at := int(hash % uint64(r.weights))
	for _, s := range r.shares {
		if at < s.weight {
			return s.service
		}
		at -= s.weight
	}
	return r.shares[len(r.shares)-1].service
}
