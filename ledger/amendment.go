package ledger

// ClaimUpdate decides how the row of a claim is written over when the call has
// ended: with its outcome, or with its release. It is carried out again and
// again until it is done. It never touches the claim of another attempt.
type ClaimUpdate struct {
	claim    Claim
	revision uint64
}

// NewClaimUpdate returns the writing of a claim over the row at the revision.
// Revision 0 says that the row has to be read first.
func NewClaimUpdate(claim Claim, revision uint64) *ClaimUpdate {
	return &ClaimUpdate{claim: claim, revision: revision}
}

// Claim returns what is written.
func (a *ClaimUpdate) Claim() Claim { return a.claim }

// UpdateEvent is something that happened to an Amendment.
type UpdateEvent interface{ amendEvent() }

// UpdateStarted starts an attempt.
type UpdateStarted struct{}

// RowFound brings the row as it is.
type RowFound struct {
	Claim    Claim
	Revision uint64
}

// RowNotFound says that there is no row.
type RowNotFound struct{}

// RowWritten says that the write took effect.
type RowWritten struct{}

// RowConflict says that the condition of the write did not hold.
type RowConflict struct{}

// RowFailed says that the table did not answer.
type RowFailed struct{}

func (UpdateStarted) amendEvent() {}
func (RowFound) amendEvent()      {}
func (RowNotFound) amendEvent()   {}
func (RowWritten) amendEvent()    {}
func (RowConflict) amendEvent()   {}
func (RowFailed) amendEvent()     {}

// UpdateEffect is something to carry out for an Amendment.
type UpdateEffect interface{ amendEffect() }

// ReadRow asks to read the row.
type ReadRow struct{ Key string }

// WriteRow asks to write the row over the one at the revision, or where there
// is none for revision 0.
type WriteRow struct {
	Claim    Claim
	Revision uint64
}

// UpdateDone says that nothing is left to do.
type UpdateDone struct{}

// RetryUpdate asks for another attempt later.
type RetryUpdate struct{}

func (ReadRow) amendEffect()     {}
func (WriteRow) amendEffect()    {}
func (UpdateDone) amendEffect()  {}
func (RetryUpdate) amendEffect() {}

// Handle takes an event and returns the effect to carry out.
func (a *ClaimUpdate) Handle(ev UpdateEvent) UpdateEffect {
	switch e := ev.(type) {
	case UpdateStarted:
		return a.begin()
	case RowFound:
		if !a.isOpen(e.Claim) {
			return UpdateDone{}
		}
		return WriteRow{Claim: a.claim, Revision: e.Revision}
	case RowNotFound:
		return WriteRow{Claim: a.claim}
	case RowWritten:
		return UpdateDone{}
	}
	// After a refusal or a lost answer the row has to be read again.
	a.revision = 0
	return RetryUpdate{}
}

func (a *ClaimUpdate) begin() UpdateEffect {
	if a.revision > 0 {
		return WriteRow{Claim: a.claim, Revision: a.revision}
	}
	return ReadRow{Key: a.claim.TableKey()}
}

// isOpen reports whether the row still is the open claim of the attempt.
func (a *ClaimUpdate) isOpen(c Claim) bool {
	return c.state == Claimed && c.attempt == a.claim.attempt
}
