package ledger

// Result is what the caller of a non-idempotent call is told.
type Result interface{ verdict() }

// Ran says that the call was run; the answer is that of the target.
type Ran struct {
	Outcome  Outcome
	Replayed bool
}

// NotRun says that this attempt was not run and never will be. Earlier says
// that the table did not tell whether an earlier attempt with the key was run.
type NotRun struct {
	Cause   Cause
	Earlier bool
}

// MayHaveRun says that nobody can tell yet whether the call was run.
type MayHaveRun struct{ Claim Claim }

// KeyReused says that the key was used for another request.
type KeyReused struct{}

func (Ran) verdict()        {}
func (NotRun) verdict()     {}
func (MayHaveRun) verdict() {}
func (KeyReused) verdict()  {}

// Cause says why a call was not run.
type Cause string

// The causes.
const (
	TableUnavailable  Cause = "table-unavailable"
	TargetUnreachable Cause = "target-unreachable"
	RouterPaused      Cause = "router-paused"
)
