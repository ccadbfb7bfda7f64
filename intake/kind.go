package intake

// Kind is what memory is held for.
type Kind int

// The kinds of memory.
const (
	// Connection is what every open connection needs.
	Connection Kind = iota
	// Head is the head of a request.
	Head
	// Body is the body of a request, as far as it has arrived.
	Body
	// Response is what a target has sent and the caller hasn't received.
	Response

	kinds
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connection, Head, Body, Response} }

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"connection", "head", "body", "response"}[k]
}
