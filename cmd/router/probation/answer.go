package probation

// Answer is what a target says when it is asked whether it serves.
type Answer interface {
	answer()
	// String names the answer for logs and metrics.
	String() string
}

// Serves means that the target takes work, as the run that its entry is of.
type Serves struct{}

// Leaves means that the target states that it is leaving, which is final for the run.
type Leaves struct{}

// Unhealthy means that the target takes no work now.
type Unhealthy struct{}

// OtherRun means that the target serves, but not as the run that its entry is of, or doesn't say as which.
type OtherRun struct {
	// StartMillis is the start that the target states, in Unix milliseconds; 0 if it states none.
	StartMillis int64
}

// Silent means that no answer came, or none of this target.
type Silent struct{ Cause error }

func (Serves) answer()    {}
func (Leaves) answer()    {}
func (Unhealthy) answer() {}
func (OtherRun) answer()  {}
func (Silent) answer()    {}

// String implements Answer.
func (Serves) String() string { return "serves" }

// String implements Answer.
func (Leaves) String() string { return "leaving" }

// String implements Answer.
func (Unhealthy) String() string { return "unhealthy" }

// String implements Answer.
func (OtherRun) String() string { return "other run" }

// String implements Answer.
func (Silent) String() string { return "no answer" }
