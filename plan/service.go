package plan

import "time"

// Service is a group of equivalent targets.
type Service struct {
	name     string
	maxConns int
	engine   *Engine
	// coldTime is how long a target may be slow after its start; 0 for a service without a cold start.
	coldTime time.Duration
	// coldRate is how many requests a second a cold target takes.
	coldRate float64
	// healthPath is the path of health checks; "" for a service without them.
	healthPath string
}

// Engine holds the properties that the model engines of a service have in
// common.
type Engine struct {
	slots      int
	kvCapacity int
	copyRate   int
}

// EngineOption configures a new Engine.
type EngineOption func(*Engine)

// WithCopyRate sets the rate at which an engine copies a cached prompt from
// another one, in prompt tokens per millisecond.
func WithCopyRate(rate int) EngineOption { return func(e *Engine) { e.copyRate = rate } }

// NewEngine returns the common properties of engines: the batch size in requests
// and the capacity of the KV cache in tokens.
func NewEngine(slots, tokens int, opts ...EngineOption) *Engine {
	e := &Engine{slots: slots, kvCapacity: tokens}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Slots returns the batch size of an engine, in requests.
func (e *Engine) Slots() int { return e.slots }

// KVCapacity returns the capacity of an engine's KV cache, in tokens.
func (e *Engine) KVCapacity() int { return e.kvCapacity }

// CopyRate returns the rate at which an engine copies a cached prompt from
// another one, in prompt tokens per millisecond; 0 means that it can't.
func (e *Engine) CopyRate() int { return e.copyRate }

// NewService returns a service. The engine is nil for plain services.
func NewService(name string, maxConns int, engine *Engine) Service {
	return Service{name: name, maxConns: maxConns, engine: engine}
}

// Name returns the name.
func (s Service) Name() string { return s.name }

// MaxConns returns how many connections a target accepts from all routers
// together.
func (s Service) MaxConns() int { return s.maxConns }

// Engine returns the common properties of the model engines, or nil for a plain
// service.
func (s Service) Engine() *Engine { return s.engine }

// WithColdStart returns the service with targets that are cold for a time after they start, and
// take only so many requests a second meanwhile. The service has no cold start unless both are
// positive.
func (s Service) WithColdStart(d time.Duration, perSecond float64) Service {
	s.coldTime, s.coldRate = 0, 0
	if d > 0 && perSecond > 0 {
		s.coldTime, s.coldRate = d, perSecond
	}
	return s
}

// WithHealthPath returns the service with a path of health checks.
func (s Service) WithHealthPath(path string) Service {
	s.healthPath = path
	return s
}

// HealthPath returns the path of health checks; "" if targets have none.
func (s Service) HealthPath() string { return s.healthPath }

// ColdTime returns how long a target is cold after it starts; 0 if the service has no cold start.
func (s Service) ColdTime() time.Duration { return s.coldTime }

// ColdRate returns how many requests a second a cold target takes.
func (s Service) ColdRate() float64 { return s.coldRate }
