package roster

// Event is something that happened to a Roster.
type Event interface{ rosterEvent() }

// Tick lets time pass. It is due every ProbeInterval.
type Tick struct{}

// Heard carries statements that a peer sent, in a probe or in an answer.
type Heard struct {
	From    string
	Updates []Member
}

// Answered reports that a probe of the member was answered, directly or
// through another member.
type Answered struct{ Name string }

// Unanswered reports that a direct probe of the member failed.
type Unanswered struct{ Name string }

// UnansweredIndirect reports that the probes through other members failed.
type UnansweredIndirect struct{ Name string }

// Listed carries the routers on the platform's list of VMs, which lags.
type Listed struct{ Members []Member }

// Leave says that this router is leaving.
type Leave struct{}

// Left says that this router has finished leaving and ends now.
type Left struct{}

func (Tick) rosterEvent()               {}
func (Heard) rosterEvent()              {}
func (Answered) rosterEvent()           {}
func (Unanswered) rosterEvent()         {}
func (UnansweredIndirect) rosterEvent() {}
func (Listed) rosterEvent()             {}
func (Leave) rosterEvent()              {}
func (Left) rosterEvent()               {}
