package ledger

// Result is the final result of a non-idempotent call for its caller.
type Result interface{ result() }

// Ran says that the call was run and carries the target's response. Replayed
// says that the response was recorded by an earlier attempt.
type Ran struct {
	Outcome  Outcome
	Replayed bool
}

// NotRun says that this attempt was not run and never will be. Earlier says
// that the table did not answer, so that it is unknown whether an earlier attempt
// with the key was run.
type NotRun struct {
	Cause   Cause
	Earlier bool
}

// MayHaveRun says that it is unknown whether the call was run.
type MayHaveRun struct{ Claim Claim }

// KeyReused says that the key was used for another request.
type KeyReused struct{}

func (Ran) result()        {}
func (NotRun) result()     {}
func (MayHaveRun) result() {}
func (KeyReused) result()  {}

// Cause is the reason why a call was not run.
type Cause string

// The causes of NotRun.
const (
	TableUnavailable  Cause = "table-unavailable"
	TargetUnreachable Cause = "target-unreachable"
	RouterPaused      Cause = "router-paused"
)
