package dispatch

import "time"

// Load is the last known state of a target.
type Load struct {
	target    string
	inFlight  int
	condition Condition
	at        time.Time
}

// NewLoad returns the state of a target at a time.
func NewLoad(target string, inFlight int, condition Condition, at time.Time) Load {
	return Load{target: target, inFlight: inFlight, condition: condition, at: at}
}

// Target returns the name of the target.
func (l Load) Target() string { return l.target }

// InFlight returns the number of requests in flight.
func (l Load) InFlight() int { return l.inFlight }

// Condition returns whether the target takes new work.
func (l Load) Condition() Condition { return l.condition }

// ObservedAt returns when the state was true.
func (l Load) ObservedAt() time.Time { return l.at }
