package quota

// Limit is what a target states of the requests that it takes from all routers together.
// The zero value is no limit.
type Limit struct {
	rate    float64
	limited bool
	brittle bool
	// cold is the requests a second that the target takes as long as it is cold; 0 if it is warm.
	cold float64
}

// NewLimit returns a limit in requests a second.
func NewLimit(rate float64) Limit { return Limit{rate: rate, limited: true} }

// AsBrittle returns the limit of a target that is also brittle: it takes no more requests than run
// at once, and must not be sent others.
func (l Limit) AsBrittle() Limit {
	l.brittle = true
	return l
}

// AsCold returns the limit of a target that is also cold, and takes only so many requests a second
// meanwhile.
func (l Limit) AsCold(perSecond float64) Limit {
	l.cold = perSecond
	return l
}

// Cold reports whether the target is cold.
func (l Limit) Cold() bool { return l.cold > 0 }

// ColdRate returns how many requests a second the target takes while it is cold; 0 if it is warm.
func (l Limit) ColdRate() float64 { return l.cold }

// Rate returns the limit in requests a second.
func (l Limit) Rate() float64 { return l.rate }

// Limited reports whether there is a limit in requests a second.
func (l Limit) Limited() bool { return l.limited }

// Brittle reports whether the target is brittle, so that each request needs a place.
func (l Limit) Brittle() bool { return l.brittle }

// NeedsPermit reports whether a request needs a permit.
func (l Limit) NeedsPermit() bool { return l.limited || l.brittle || l.Cold() }
