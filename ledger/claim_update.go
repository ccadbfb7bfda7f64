package ledger

// ClaimUpdate is a state machine without I/O that updates the row of a claim
// after the call has ended: with its outcome, or as released. It is retried
// until it is done. It never overwrites the claim of another attempt.
type ClaimUpdate struct {
	claim    Claim
	revision uint64
}

// NewClaimUpdate returns the update that writes the claim if the row is at the
// revision. With revision 0 the row is read first.
func NewClaimUpdate(claim Claim, revision uint64) *ClaimUpdate {
	return &ClaimUpdate{claim: claim, revision: revision}
}

// Claim returns the claim to write.
func (u *ClaimUpdate) Claim() Claim { return u.claim }

// UpdateEvent is an input of a ClaimUpdate.
type UpdateEvent interface{ updateEvent() }

// UpdateStarted starts an attempt.
type UpdateStarted struct{}

// RowFound reports the current row.
type RowFound struct {
	Claim    Claim
	Revision uint64
}

// RowNotFound reports that the key has no row.
type RowNotFound struct{}

// RowWritten reports that the conditional write took effect.
type RowWritten struct{}

// RowConflict reports that the condition of the write did not hold.
type RowConflict struct{}

// RowFailed reports that a read or write of the table failed.
type RowFailed struct{}

func (UpdateStarted) updateEvent() {}
func (RowFound) updateEvent()      {}
func (RowNotFound) updateEvent()   {}
func (RowWritten) updateEvent()    {}
func (RowConflict) updateEvent()   {}
func (RowFailed) updateEvent()     {}

// UpdateEffect is an action that the caller performs for a ClaimUpdate.
type UpdateEffect interface{ updateEffect() }

// ReadRow requests a read of the row.
type ReadRow struct{ Key string }

// WriteRow requests a conditional write of the row: if it is at the revision, or
// if it does not exist for revision 0.
type WriteRow struct {
	Claim    Claim
	Revision uint64
}

// UpdateDone reports that the update is complete.
type UpdateDone struct{}

// RetryUpdate requests another attempt later.
type RetryUpdate struct{}

func (ReadRow) updateEffect()     {}
func (WriteRow) updateEffect()    {}
func (UpdateDone) updateEffect()  {}
func (RetryUpdate) updateEffect() {}

// Handle processes an event and returns the effect to perform.
func (u *ClaimUpdate) Handle(ev UpdateEvent) UpdateEffect {
	switch e := ev.(type) {
	case UpdateStarted:
		return u.start()
	case RowFound:
		if !u.isOpen(e.Claim) {
			return UpdateDone{}
		}
		return WriteRow{Claim: u.claim, Revision: e.Revision}
	case RowNotFound:
		return WriteRow{Claim: u.claim}
	case RowWritten:
		return UpdateDone{}
	}
	// After a conflict or a failure the revision is unknown: read the row again.
	u.revision = 0
	return RetryUpdate{}
}

func (u *ClaimUpdate) start() UpdateEffect {
	if u.revision > 0 {
		return WriteRow{Claim: u.claim, Revision: u.revision}
	}
	return ReadRow{Key: u.claim.TableKey()}
}

// isOpen reports whether the row is still the open claim of this attempt.
func (u *ClaimUpdate) isOpen(c Claim) bool {
	return c.state == Claimed && c.attempt == u.claim.attempt
}
