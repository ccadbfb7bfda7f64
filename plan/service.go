package plan

// Service is a group of targets that do the same work.
type Service struct {
	name     string
	maxConns int
	engine   *Engine
}

// Engine is what the targets of a service have in common when they are model
// engines.
type Engine struct {
	slots    int
	tokens   int
	copyRate int
}

// EngineOption changes a new Engine.
type EngineOption func(*Engine)

// WithCopyRate sets how many prompt tokens an engine copies from another one in
// a millisecond.
func WithCopyRate(rate int) EngineOption { return func(e *Engine) { e.copyRate = rate } }

// NewEngine returns the common properties of engines: the requests in a batch
// and the memory in tokens.
func NewEngine(slots, tokens int, opts ...EngineOption) *Engine {
	e := &Engine{slots: slots, tokens: tokens}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Slots returns how many requests an engine runs at once.
func (e *Engine) Slots() int { return e.slots }

// Tokens returns the memory of an engine, in tokens.
func (e *Engine) KVCapacity() int { return e.tokens }

// CopyRate returns how many prompt tokens an engine copies from another one in
// a millisecond; 0 is that it does not.
func (e *Engine) CopyRate() int { return e.copyRate }

// NewService returns a service. The engine is nil for plain services.
func NewService(name string, maxConns int, engine *Engine) Service {
	return Service{name: name, maxConns: maxConns, engine: engine}
}

// Name returns the name.
func (s Service) Name() string { return s.name }

// MaxConns returns how many connections a target takes from all routers.
func (s Service) MaxConns() int { return s.maxConns }

// Engine returns the common properties of model engines, or nil.
func (s Service) Engine() *Engine { return s.engine }
