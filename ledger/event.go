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

// ClaimLost says that the answer to the write was lost.
type ClaimLost struct{}

// ClaimAbsent says that reading back found no row.
type ClaimAbsent struct{}

// ClaimUnreadable says that reading back failed.
type ClaimUnreadable struct{}

// SendFailed says that the call failed with proof that no byte of it was sent.
type SendFailed struct{}

// Cut says that the call failed after it may have been sent.
type Cut struct{}

// Answered brings the target's answer.
type Answered struct{ Outcome Outcome }

// TargetTold brings the outcome that the target remembers of the call.
type TargetTold struct{ Outcome Outcome }

// TargetCannotTell says that the target did not tell whether the call ran.
type TargetCannotTell struct{}

func (Begin) callEvent()            {}
func (ClaimStored) callEvent()      {}
func (ClaimExists) callEvent()      {}
func (ClaimNotWritten) callEvent()  {}
func (ClaimLost) callEvent()        {}
func (ClaimAbsent) callEvent()      {}
func (ClaimUnreadable) callEvent()  {}
func (SendFailed) callEvent()       {}
func (Cut) callEvent()              {}
func (Answered) callEvent()         {}
func (TargetTold) callEvent()       {}
func (TargetCannotTell) callEvent() {}
