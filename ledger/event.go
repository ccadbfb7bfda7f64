package ledger

// Event is something that happened to a Call.
type Event interface{ callEvent() }

// Begin starts the call.
type Begin struct{}

// ClaimStored says that the conditional write of the claim took effect.
type ClaimStored struct{ Revision uint64 }

// ClaimExists says that the key has a row already.
type ClaimExists struct {
	Claim    Claim
	Revision uint64
}

// ClaimNotWritten says that the write was proved not to have taken effect.
type ClaimNotWritten struct{}

// ClaimResponseLost says that the answer to the write was lost.
type ClaimResponseLost struct{}

// ClaimNotFound says that reading back found no row.
type ClaimNotFound struct{}

// ClaimReadFailed says that reading back failed.
type ClaimReadFailed struct{}

// SendFailed says that the call failed with proof that no byte of it was sent.
type SendFailed struct{}

// ResponseLost says that the call failed after it may have been sent.
type ResponseLost struct{}

// ResponseReceived brings the target's answer.
type ResponseReceived struct{ Outcome Outcome }

// OutcomeFound brings the outcome that the target remembers of the call.
type OutcomeFound struct{ Outcome Outcome }

// OutcomeUnknown says that the target did not tell whether the call ran.
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
