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

// Elsewhere sends the request to another engine.
type Elsewhere struct {
	ID     string
	Engine string
}

// Reconsider takes a request whose patience has ended out of the queue. It is
// to arrive again, without patience.
type Reconsider struct{ ID string }

// Refuse gives the request up before any of it has run.
type Refuse struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

func (Admit) deskEffect()      {}
func (Wait) deskEffect()       {}
func (Elsewhere) deskEffect()  {}
func (Reconsider) deskEffect() {}
func (Refuse) deskEffect()     {}
