package desk

import "time"

// Effect is the decision of a Controller on one request.
type Effect interface{ controllerEffect() }

// Admit starts the request now. Waited is how long it was queued.
type Admit struct {
	ID     string
	Waited time.Duration
}

// Wait means that the request is queued; an Admit, a Resubmit or a Reject
// follows.
type Wait struct{ ID string }

// Spill sends the request to another engine.
type Spill struct {
	ID     string
	Engine string
}

// Resubmit removes a request whose locality wait is over from the queue. The
// caller must send it as Arrived again, without a locality wait.
type Resubmit struct{ ID string }

// Reject ends the request before any of it has run. RetryAfter is how long the
// caller should wait before a retry.
type Reject struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

func (Admit) controllerEffect()    {}
func (Wait) controllerEffect()     {}
func (Spill) controllerEffect()    {}
func (Resubmit) controllerEffect() {}
func (Reject) controllerEffect()   {}
