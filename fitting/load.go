package fitting

// Load is the load of a target from one or more routers.
type Load struct {
	requests      int
	prefillTokens int
	// kvTokens are the tokens that kvRequests of the requests are expected to need.
	kvTokens   int
	kvRequests int
}

// NewLoad returns a load of open requests, and of the prompt tokens of those
// that have not returned a first token. The tokens that the requests need in the KV
// cache are unknown.
func NewLoad(requests, prefillTokens int) Load {
	return Load{requests: requests, prefillTokens: prefillTokens}
}

// WithKVTokens returns the load with the tokens that all of its requests are expected
// to need in the KV cache until they end; 0 means unknown.
func (l Load) WithKVTokens(tokens int) Load {
	l.kvTokens, l.kvRequests = 0, 0
	if tokens > 0 {
		l.kvTokens, l.kvRequests = tokens, l.requests
	}
	return l
}

// Requests returns the number of open requests.
func (l Load) Requests() int { return l.requests }

// PrefillTokens returns the prompt tokens of requests without a first token.
func (l Load) PrefillTokens() int { return l.prefillTokens }

// KVTokens returns the tokens that the requests are expected to need in the KV cache until
// they end; 0 means unknown. Requests whose tokens are unknown count as the mean of the others.
func (l Load) KVTokens() int {
	if l.kvRequests <= 0 {
		return 0
	}
	return l.kvTokens + max(l.requests-l.kvRequests, 0)*l.kvTokens/l.kvRequests
}

// expectedKVTokens returns the same with a mean for the requests whose tokens are unknown.
func (l Load) expectedKVTokens(mean int) int {
	return max(l.kvTokens+max(l.requests-l.kvRequests, 0)*mean, 0)
}

// Plus returns the sum of two loads.
func (l Load) Plus(m Load) Load {
	return Load{
		requests: l.requests + m.requests, prefillTokens: l.prefillTokens + m.prefillTokens,
		kvTokens: l.kvTokens + m.kvTokens, kvRequests: l.kvRequests + m.kvRequests,
	}
}

// Negative returns the load with all signs changed.
func (l Load) Negative() Load { return Load{}.minus(l) }

func (l Load) minus(m Load) Load {
	return Load{
		requests: l.requests - m.requests, prefillTokens: l.prefillTokens - m.prefillTokens,
		kvTokens: l.kvTokens - m.kvTokens, kvRequests: l.kvRequests - m.kvRequests,
	}
}
