package defect

// Stage is how far a target had come with a request when it crashed.
type Stage int

const (
	// Beginning is after the head of the response, and before the target ran well on the request.
	Beginning Stage = iota
	// Waiting is before any of the response had come: the target may have begun, or not.
	Waiting
	// Running is after it had run well on the request.
	Running
)

// tellsMore reports whether a crash of a target at this stage tells more of a subject than another
// of the same target.
func (s Stage) tellsMore(than Stage) bool { return s == Beginning && than != Beginning }
