package desk

import "time"

// waiting is a request in the queue.
type waiting struct {
	request  Request
	arrived  time.Time
	deadline time.Time
	// patient is until when the request waits here rather than go elsewhere.
	// It is zero for one that cannot go elsewhere.
	patient time.Time
}

// impatient reports whether the request had better go elsewhere by now.
func (w waiting) impatient(now time.Time) bool {
	return !w.patient.IsZero() && !now.Before(w.patient)
}

// due returns when the request loses its patience or reaches its deadline.
func (w waiting) due() time.Time {
	if !w.patient.IsZero() && w.patient.Before(w.deadline) {
		return w.patient
	}
	return w.deadline
}
