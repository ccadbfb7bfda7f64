package quota

// Limit is what a target states of the requests that it takes from all routers together.
// The zero value is no limit.
type Limit struct {
	rate    float64
	limited bool
}

// NewLimit returns a limit in requests a second.
func NewLimit(rate float64) Limit { return Limit{rate: rate, limited: true} }

// Rate returns the limit in requests a second.
func (l Limit) Rate() float64 { return l.rate }

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.limited }
