package ledger

// Amendment decides how the row of a claim is written over when the call has
// ended: with its outcome, or with its release. It is carried out again and
// again until it is done. It never touches the claim of another attempt.
type Amendment struct {
	claim    Claim
	revision uint64
}

// NewAmendment returns the writing of a claim over the row at the revision.
// Revision 0 says that the row has to be read first.
func NewAmendment(claim Claim, revision uint64) *Amendment {
	return &Amendment{claim: claim, revision: revision}
}

// Claim returns what is written.
func (a *Amendment) Claim() Claim { return a.claim }

// AmendEvent is something that happened to an Amendment.
type AmendEvent interface{ amendEvent() }

// AmendBegun starts an attempt.
type AmendBegun struct{}

// RowFound brings the row as it is.
type RowFound struct {
	Claim    Claim
	Revision uint64
}

// RowMissing says that there is no row.
type RowMissing struct{}

// RowWritten says that the write took effect.
type RowWritten struct{}

// RowRefused says that the condition of the write did not hold.
type RowRefused struct{}

// RowFailed says that the table did not answer.
type RowFailed struct{}

func (AmendBegun) amendEvent() {}
func (RowFound) amendEvent()   {}
func (RowMissing) amendEvent() {}
func (RowWritten) amendEvent() {}
func (RowRefused) amendEvent() {}
func (RowFailed) amendEvent()  {}

// AmendEffect is something to carry out for an Amendment.
type AmendEffect interface{ amendEffect() }

// ReadRow asks to read the row.
type ReadRow struct{ Key string }

// WriteRow asks to write the row over the one at the revision, or where there
// is none for revision 0.
type WriteRow struct {
	Claim    Claim
	Revision uint64
}

// AmendDone says that nothing is left to do.
type AmendDone struct{}

// AmendLater asks for another attempt later.
type AmendLater struct{}

func (ReadRow) amendEffect()    {}
func (WriteRow) amendEffect()   {}
func (AmendDone) amendEffect()  {}
func (AmendLater) amendEffect() {}

// Handle takes an event and returns the effect to carry out.
func (a *Amendment) Handle(ev AmendEvent) AmendEffect {
	switch e := ev.(type) {
	case AmendBegun:
		return a.begin()
	case RowFound:
		if !a.isOpen(e.Claim) {
			return AmendDone{}
		}
		return WriteRow{Claim: a.claim, Revision: e.Revision}
	case RowMissing:
		return WriteRow{Claim: a.claim}
	case RowWritten:
		return AmendDone{}
	}
	// After a refusal or a lost answer the row has to be read again.
	a.revision = 0
	return AmendLater{}
}

func (a *Amendment) begin() AmendEffect {
	if a.revision > 0 {
		return WriteRow{Claim: a.claim, Revision: a.revision}
	}
	return ReadRow{Key: a.claim.TableKey()}
}

// isOpen reports whether the row still is the open claim of the attempt.
func (a *Amendment) isOpen(c Claim) bool {
	return c.state == Claimed && c.attempt == a.claim.attempt
}
