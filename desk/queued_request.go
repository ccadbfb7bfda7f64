package desk

import "time"

// queuedRequest is a request in the queue.
type queuedRequest struct {
	request  Request
	arrived  time.Time
	deadline time.Time
	// spillAfter is the end of the locality wait. It is zero for a request that
	// has no other engine to spill to.
	spillAfter time.Time
}

// shouldSpill reports whether the locality wait is over.
func (w queuedRequest) shouldSpill(now time.Time) bool {
	return !w.spillAfter.IsZero() && !now.Before(w.spillAfter)
}

// due returns the earlier of the end of the locality wait and the deadline.
func (w queuedRequest) due() time.Time {
	if !w.spillAfter.IsZero() && w.spillAfter.Before(w.deadline) {
		return w.spillAfter
	}
	return w.deadline
}
