package roster

// Event is something that happened to a Roster.
type Event interface{ rosterEvent() }

// Tick lets time pass. It is due every ProbeInterval.
type Tick struct{}

// UpdatesReceived carries statements that a peer sent, in a probe or in an answer.
type UpdatesReceived struct {
	From    string
	Updates []Member
}

// ProbeSucceeded reports that a probe of the member was answered, directly or
// through another member.
type ProbeSucceeded struct{ Name string }

// ProbeFailed reports that a direct probe of the member failed.
type ProbeFailed struct{ Name string }

// IndirectProbeFailed reports that the probes through other members failed.
type IndirectProbeFailed struct{ Name string }

// ListReceived carries the routers on the platform's list of VMs, which lags.
type ListReceived struct{ Members []Member }

// Leave says that this router is leaving.
type Leave struct{}

// Left says that this router has finished leaving and ends now.
type Left struct{}

func (Tick) rosterEvent()                {}
func (UpdatesReceived) rosterEvent()     {}
func (ProbeSucceeded) rosterEvent()      {}
func (ProbeFailed) rosterEvent()         {}
func (IndirectProbeFailed) rosterEvent() {}
func (ListReceived) rosterEvent()        {}
func (Leave) rosterEvent()               {}
func (Left) rosterEvent()                {}
