package ledger

// Verdict is what the caller of a non-idempotent call is told.
type Verdict interface{ verdict() }

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

// Mismatch says that the key was used for another request.
type Mismatch struct{}

func (Ran) verdict()        {}
func (NotRun) verdict()     {}
func (MayHaveRun) verdict() {}
func (Mismatch) verdict()   {}

// Cause says why a call was not run.
type Cause string

// The causes.
const (
	TableOut  Cause = "table-unavailable"
	Unsent    Cause = "target-unreachable"
	PausedOut Cause = "router-paused"
)
