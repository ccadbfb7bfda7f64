package desk

import "time"

// Request is a request for admission to an engine.
type Request struct {
	id        string
	workspace string
	share     int
	class     string
	weight    int
	limit     int
	deadline  time.Duration
}

// RequestOption configures a new Request.
type RequestOption func(*Request)

// WithShare sets the weight of the workspace among the others of the class.
func WithShare(share int) RequestOption {
	return func(r *Request) { r.share = max(share, 1) }
}

// WithClass sets the class, its weight among the classes, the maximum number of
// queued requests in the class and the maximum queue wait.
func WithClass(name string, weight, limit int, deadline time.Duration) RequestOption {
	return func(r *Request) {
		r.class, r.weight, r.limit, r.deadline = name, max(weight, 1), limit, deadline
	}
}

const (
	defaultLimit    = 256
	defaultDeadline = 10 * time.Second
)

// NewRequest returns a request with an id that is unique at the engine.
func NewRequest(id, workspace string, opts ...RequestOption) Request {
	r := Request{id: id, workspace: workspace, share: 1, weight: 1, limit: defaultLimit, deadline: defaultDeadline}
	for _, opt := range opts {
		opt(&r)
	}
	return r
}

// ID returns the unique id of the request.
func (r Request) ID() string { return r.id }

// Workspace returns the workspace of the caller.
func (r Request) Workspace() string { return r.workspace }

// Class returns the class of the request.
func (r Request) Class() string { return r.class }
