package plan

// Service is a group of equivalent targets.
type Service struct {
	name     string
	maxConns int
	engine   *Engine
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
