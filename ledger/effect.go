package ledger

// Effect is something that the program carries out for a Call.
type Effect interface{ callEffect() }

// StoreClaim asks to write the claim: where its key is absent, or over a
// released claim at the revision, when that is not 0.
type StoreClaim struct {
	Claim    Claim
	Revision uint64
}

// ReadClaim asks to read the row back.
type ReadClaim struct{ Key string }

// Dispatch asks to send the call to the target, once.
type Dispatch struct{}

// QueryOutcome asks the target that the claim names for the outcome it remembers.
type QueryOutcome struct{ Claim Claim }

// StoreOutcome asks to write the row over the claim at the revision.
type StoreOutcome struct {
	Claim    Claim
	Revision uint64
}

// ReleaseClaim asks to release the claim of this attempt wherever it turns up
// under the key, since the call was not and will not be sent.
type ReleaseClaim struct{ Claim Claim }

// Reply is the final answer to the caller.
type Reply struct{ Result Result }

func (StoreClaim) callEffect()   {}
func (ReadClaim) callEffect()    {}
func (Dispatch) callEffect()     {}
func (QueryOutcome) callEffect() {}
func (StoreOutcome) callEffect() {}
func (ReleaseClaim) callEffect() {}
func (Reply) callEffect()        {}
