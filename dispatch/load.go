package dispatch

import "time"

// Load is a snapshot of a target's requests in flight and condition.
type Load struct {
	target     string
	inFlight   int
	condition  Condition
	observedAt time.Time
}

// NewLoad returns the load of a target as observed at a time.
func NewLoad(target string, inFlight int, condition Condition, observedAt time.Time) Load {
	return Load{target: target, inFlight: inFlight, condition: condition, observedAt: observedAt}
}

// Target returns the name of the target.
func (l Load) Target() string { return l.target }

// InFlight returns the number of requests in flight.
func (l Load) InFlight() int { return l.inFlight }

// Condition returns whether the target accepts new requests.
func (l Load) Condition() Condition { return l.condition }

// ObservedAt returns when the load was observed.
func (l Load) ObservedAt() time.Time { return l.observedAt }
