package ledger

// Event is an input of a Call.
type Event interface{ callEvent() }

// Begin starts the call.
type Begin struct{}

// ClaimStored reports that the conditional write of the claim took effect.
type ClaimStored struct{ Revision uint64 }

// ClaimExists reports that the key already has a row.
type ClaimExists struct {
	Claim    Claim
	Revision uint64
}

// ClaimNotWritten reports that the write certainly did not take effect.
type ClaimNotWritten struct{}

// ClaimResponseLost reports that the response to the write was lost, so
// that the write may or may not have taken effect.
type ClaimResponseLost struct{}

// ClaimNotFound reports that the read found no row.
type ClaimNotFound struct{}

// ClaimReadFailed reports that the read failed.
type ClaimReadFailed struct{}

// SendFailed reports that the call failed before any byte of it was sent.
type SendFailed struct{}

// ResponseLost reports that the call failed after it may have been sent.
type ResponseLost struct{}

// ResponseReceived carries the target's response.
type ResponseReceived struct{ Outcome Outcome }

// OutcomeFound carries the outcome that the target has recorded for the call.
type OutcomeFound struct{ Outcome Outcome }

// OutcomeUnknown reports that the target could not say whether the call ran.
type OutcomeUnknown struct{}

func (Begin) callEvent()             {}
func (ClaimStored) callEvent()       {}
func (ClaimExists) callEvent()       {}
func (ClaimNotWritten) callEvent()   {}
func (ClaimResponseLost) callEvent() {}
func (ClaimNotFound) callEvent()     {}
func (ClaimReadFailed) callEvent()   {}
func (SendFailed) callEvent()        {}
func (ResponseLost) callEvent()      {}
func (ResponseReceived) callEvent()  {}
func (OutcomeFound) callEvent()      {}
func (OutcomeUnknown) callEvent()    {}
