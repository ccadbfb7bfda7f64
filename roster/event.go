package roster

// Event is an input of a Roster.
type Event interface{ rosterEvent() }

// Tick starts the next probe and expires timeouts. It is due every ProbeInterval.
type Tick struct{}

// UpdatesReceived carries the member updates in a probe or a probe response
// from a peer.
type UpdatesReceived struct {
	From    string
	Updates []Member
}

// ProbeSucceeded reports that a direct or indirect probe of the member was
// answered.
type ProbeSucceeded struct{ Name string }

// ProbeFailed reports that a direct probe of the member failed.
type ProbeFailed struct{ Name string }

// IndirectProbeFailed reports that all indirect probes of the member failed.
type IndirectProbeFailed struct{ Name string }

// ListReceived carries the routers in the platform's list of VMs, which may be
// stale.
type ListReceived struct{ Members []Member }

// Leave reports that this router is leaving.
type Leave struct{}

// Left reports that this router has finished leaving and is about to exit.
type Left struct{}

func (Tick) rosterEvent()                {}
func (UpdatesReceived) rosterEvent()     {}
func (ProbeSucceeded) rosterEvent()      {}
func (ProbeFailed) rosterEvent()         {}
func (IndirectProbeFailed) rosterEvent() {}
func (ListReceived) rosterEvent()        {}
func (Leave) rosterEvent()               {}
func (Left) rosterEvent()                {}
