package plan

import (
	"slices"
	"time"
)

// WeightedService is a service that receives a share of a route's requests.
type WeightedService struct {
	service string
	weight  int
}

// NewWeightedService returns a service with its weight.
func NewWeightedService(service string, weight int) WeightedService {
	return WeightedService{service: service, weight: weight}
}

// Service returns the name of the service.
func (s WeightedService) Service() string { return s.service }

// Weight returns the weight relative to the other services of the route.
func (s WeightedService) Weight() int { return s.weight }

// Route maps a host and path prefix to services.
type Route struct {
	name        string
	host        string
	prefix      string
	kind        Kind
	timeout     time.Duration
	objective   time.Duration
	maxEventGap time.Duration
	maxAttempts int
	priority    int
	public      bool
	resumable   bool
	services    []WeightedService
	totalWeight int
}

// RouteOption configures a new Route.
type RouteOption func(*Route)

// WithTimes sets the response timeout and the latency objective.
func WithTimes(timeout, objective time.Duration) RouteOption {
	return func(r *Route) { r.timeout, r.objective = timeout, objective }
}

// WithMaxEventGap sets the latency objective of a stream: the longest time
// between two events.
func WithMaxEventGap(d time.Duration) RouteOption { return func(r *Route) { r.maxEventGap = d } }

// WithMaxAttempts sets the maximum number of targets that a request is sent to.
func WithMaxAttempts(n int) RouteOption { return func(r *Route) { r.maxAttempts = max(n, 1) } }

// WithPriority sets the priority rank; 0 is the most urgent.
func WithPriority(n int) RouteOption { return func(r *Route) { r.priority = n } }

// WithPublic sets whether requests without a key are accepted.
func WithPublic(public bool) RouteOption { return func(r *Route) { r.public = public } }

// WithResumable sets whether a stream may be resumed at another target.
func WithResumable(resumable bool) RouteOption { return func(r *Route) { r.resumable = resumable } }

// NewRoute returns a route that distributes its requests over the services by
// weight.
func NewRoute(name, host, prefix string, kind Kind, services []WeightedService, opts ...RouteOption) Route {
	r := Route{name: name, host: host, prefix: prefix, kind: kind, services: services, maxAttempts: 1}
	for _, opt := range opts {
		opt(&r)
	}
	for _, s := range services {
		r.totalWeight += s.weight
	}
	return r
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.name }

// Host returns the host name that requests must carry.
func (r *Route) Host() string { return r.host }

// Prefix returns the path prefix, which begins and ends with a slash.
func (r *Route) Prefix() string { return r.prefix }

// Kind returns the kind, which determines whether requests may be retried.
func (r *Route) Kind() Kind { return r.kind }

// Timeout returns the longest time to a final response; 0 means no timeout.
func (r *Route) Timeout() time.Duration { return r.timeout }

// Objective returns the latency objective.
func (r *Route) Objective() time.Duration { return r.objective }

// MaxEventGap returns the longest time between two events of a stream that meets
// its objective.
func (r *Route) MaxEventGap() time.Duration { return r.maxEventGap }

// MaxAttempts returns the maximum number of targets that a request is sent to.
func (r *Route) MaxAttempts() int { return r.maxAttempts }

// Priority returns the priority rank; 0 is the most urgent.
func (r *Route) Priority() int { return r.priority }

// Public reports whether requests are accepted without a key.
func (r *Route) Public() bool { return r.public }

// Resumable reports whether a stream may be resumed at another target.
func (r *Route) Resumable() bool { return r.resumable }

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.kind == Idempotent || r.kind == Streaming && r.resumable
}

// LeadsTo reports whether the route distributes requests to the service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.services, func(s WeightedService) bool { return s.service == service })
}

// Pick returns the service for a request, chosen by weight. The hash is that of
// the request's id, so that retries of a request go to the same service.
func (r *Route) Pick(hash uint64) string {
	if len(r.services) == 0 {
		return ""
	}
	if r.totalWeight <= 0 {
		return r.services[0].service
	}
	at := int(hash % uint64(r.totalWeight))
	for _, s := range r.services {
		if at < s.weight {
			return s.service
		}
		at -= s.weight
	}
	return r.services[len(r.services)-1].service
}
