package plan

// Kind determines whether the requests of a route may be retried.
type Kind uint8

// The kinds of route.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a stream of events with increasing
	// ids. They run at most once unless the route is resumable.
	Streaming
)

// String returns the kind for logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	default:
		return "streaming"
	}
}
