package ledger

// Effect is an action that the program performs for a Call.
type Effect interface{ callEffect() }

// StoreClaim requests a conditional write of the claim: if its key has no row
// for revision 0, otherwise over a released claim at the revision.
type StoreClaim struct {
	Claim    Claim
	Revision uint64
}

// ReadClaim requests a read of the row after a lost write response.
type ReadClaim struct{ Key string }

// Dispatch requests that the call is sent to the target, without retries.
type Dispatch struct{}

// QueryOutcome queries the target named in the claim for the recorded outcome.
type QueryOutcome struct{ Claim Claim }

// StoreOutcome requests a write of the finished claim over the row at the
// revision.
type StoreOutcome struct {
	Claim    Claim
	Revision uint64
}

// ReleaseClaim requests the release of this attempt's claim, even if its write
// takes effect late, since the call was not and will not be sent.
type ReleaseClaim struct{ Claim Claim }

// Reply returns the final result to the caller.
type Reply struct{ Result Result }

func (StoreClaim) callEffect()   {}
func (ReadClaim) callEffect()    {}
func (Dispatch) callEffect()     {}
func (QueryOutcome) callEffect() {}
func (StoreOutcome) callEffect() {}
func (ReleaseClaim) callEffect() {}
func (Reply) callEffect()        {}
