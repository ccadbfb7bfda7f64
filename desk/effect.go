package desk

import "time"

// Effect is the answer of a Desk about one request.
type Effect interface{ deskEffect() }

// Admit starts the request now.
type Admit struct {
	ID     string
	Waited time.Duration
}

// Wait says that the request stands in the queue; an Admit or a Refuse follows.
type Wait struct{ ID string }

// Spill sends the request to another engine.
type Spill struct {
	ID     string
	Engine string
}

// Resubmit takes a request whose patience has ended out of the queue. It is
// to arrive again, without patience.
type Resubmit struct{ ID string }

// Reject gives the request up before any of it has run.
type Reject struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

func (Admit) deskEffect()    {}
func (Wait) deskEffect()     {}
func (Spill) deskEffect()    {}
func (Resubmit) deskEffect() {}
func (Reject) deskEffect()   {}
