package fitting

// Load is the load of a target from one or more routers.
type Load struct {
	requests      int
	prefillTokens int
}

// NewLoad returns a load of open requests, and of the prompt tokens of those
// that have not returned a first token.
func NewLoad(requests, prefillTokens int) Load {
	return Load{requests: requests, prefillTokens: prefillTokens}
}

// Requests returns the number of open requests.
func (l Load) Requests() int { return l.requests }

// PrefillTokens returns the prompt tokens of requests without a first token.
func (l Load) PrefillTokens() int { return l.prefillTokens }

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{requests: l.requests + m.requests, prefillTokens: l.prefillTokens + m.prefillTokens}
}

// Negative returns the load with both signs changed.
func (l Load) Negative() Load { return Load{requests: -l.requests, prefillTokens: -l.prefillTokens} }
