package fitting

// Load is the work that routers have at a target.
type Load struct {
	requests int
	unread   int
}

// NewLoad returns a load of open requests, of which those without a first
// answer still have so many prompt tokens to be read.
func NewLoad(requests, unread int) Load { return Load{requests: requests, unread: unread} }

// Requests returns the number of open requests.
func (l Load) Requests() int { return l.requests }

// Unread returns the prompt tokens of requests that have no answer yet.
func (l Load) PrefillTokens() int { return l.unread }

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{requests: l.requests + m.requests, unread: l.unread + m.unread}
}

// Negative returns the load with its sign changed.
func (l Load) Negative() Load { return Load{requests: -l.requests, unread: -l.unread} }
