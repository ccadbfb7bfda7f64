package ledger

import (
	"time"

	"vanillalug.example/schedule"
)

// MaxClaimAge is the longest time between the start of a claim and its
// dispatch. A router that was frozen for longer does not dispatch.
const MaxClaimAge = 2 * time.Second

// maxReclaims bounds how often a released claim is claimed again.
const maxReclaims = 2

// Call is one non-idempotent call. It belongs to one request and is not safe
// for concurrent use.
type Call struct {
	clock    schedule.Clock
	claim    Claim
	state    callState
	begun    time.Time
	revision uint64
	reclaims int
	askable  bool
	doubtful Claim
}

// CallOption changes a new Call.
type CallOption func(*Call)

// WithOutcomeQuery says that the target can be asked for outcomes.
func WithOutcomeQuery() CallOption { return func(c *Call) { c.askable = true } }

type callState uint8

const (
	stateNew callState = iota
	stateClaiming
	stateReading
	stateSent
	stateAsking
	stateEnded
)

// NewCall returns the call that the claim is for.
func NewCall(clock schedule.Clock, claim Claim, opts ...CallOption) *Call {
	c := &Call{clock: clock, claim: claim}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Handle takes an event and returns the effects to carry out, in order.
func (c *Call) Handle(ev Event) []Effect {
	switch c.state {
	case stateNew:
		return c.begin(ev)
	case stateClaiming:
		return c.claiming(ev)
	case stateReading:
		return c.reading(ev)
	case stateSent:
		return c.sent(ev)
	case stateAsking:
		return c.asking(ev)
	}
	return nil
}

// MayDispatch reports whether the claim is young enough to dispatch. It is
// asked again right before the call is sent.
func (c *Call) MayDispatch() bool {
	return c.clock.Now().Sub(c.begun) <= MaxClaimAge
}

func (c *Call) begin(ev Event) []Effect {
	if _, ok := ev.(Begin); !ok {
		return nil
	}
	c.begun = c.clock.Now()
	c.state = stateClaiming
	return []Effect{StoreClaim{Claim: c.claim}}
}

func (c *Call) claiming(ev Event) []Effect {
	switch e := ev.(type) {
	case ClaimStored:
		return c.confirmed(e.Revision)
	case ClaimExists:
		return c.exists(e)
	case ClaimNotWritten:
		return c.end(NotRun{Cause: TableUnavailable, Earlier: true})
	case ClaimResponseLost:
		c.state = stateReading
		return []Effect{ReadClaim{Key: c.claim.TableKey()}}
	}
	return nil
}

// reading settles a lost answer. Without a confirmed claim nothing is sent;
// the write may still take effect late, so the claim is withdrawn.
func (c *Call) reading(ev Event) []Effect {
	switch e := ev.(type) {
	case ClaimExists:
		return c.exists(e)
	case ClaimNotFound:
		return c.withdraw(NotRun{Cause: TableUnavailable})
	case ClaimReadFailed:
		return c.withdraw(NotRun{Cause: TableUnavailable, Earlier: true})
	}
	return nil
}

func (c *Call) exists(e ClaimExists) []Effect {
	if e.Claim.digest != c.claim.digest && e.Claim.state != Released {
		return c.end(KeyReused{})
	}
	switch {
	case e.Claim.state == Finished:
		return c.end(Ran{Outcome: e.Claim.outcome, Replayed: true})
	case e.Claim.state == Released:
		return c.reclaim(e)
	case e.Claim.attempt == c.claim.attempt:
		return c.confirmed(e.Revision)
	}
	return c.doubt(e.Claim, e.Revision)
}

// doubt asks the target where it can tell.
func (c *Call) doubt(claim Claim, revision uint64) []Effect {
	if !c.askable {
		return c.end(MayHaveRun{Claim: claim})
	}
	c.state = stateAsking
	c.doubtful = claim
	c.revision = revision
	return []Effect{QueryOutcome{Claim: claim}}
}

// asking takes the target's word that the call ran. Its word that it knows
// nothing proves nothing, since the call may still be on its way.
func (c *Call) asking(ev Event) []Effect {
	switch e := ev.(type) {
	case OutcomeFound:
		c.state = stateEnded
		done := c.doubtful.finished(e.Outcome)
		return []Effect{
			Reply{Result: Ran{Outcome: e.Outcome, Replayed: true}},
			StoreOutcome{Claim: done, Revision: c.revision},
		}
	case OutcomeUnknown:
		return c.end(MayHaveRun{Claim: c.doubtful})
	}
	return nil
}

func (c *Call) reclaim(e ClaimExists) []Effect {
	if c.reclaims >= maxReclaims || e.Claim.attempt == c.claim.attempt {
		return c.end(NotRun{Cause: TableUnavailable})
	}
	c.reclaims++
	c.state = stateClaiming
	return []Effect{StoreClaim{Claim: c.claim, Revision: e.Revision}}
}

func (c *Call) confirmed(revision uint64) []Effect {
	c.revision = revision
	if !c.MayDispatch() {
		return c.withdraw(NotRun{Cause: RouterPaused})
	}
	c.state = stateSent
	return []Effect{Dispatch{}}
}

func (c *Call) sent(ev Event) []Effect {
	switch e := ev.(type) {
	case ResponseReceived:
		c.state = stateEnded
		done := c.claim.finished(e.Outcome)
		return []Effect{Reply{Result: Ran{Outcome: e.Outcome}}, StoreOutcome{Claim: done, Revision: c.revision}}
	case SendFailed:
		cause := TargetUnreachable
		if !c.MayDispatch() {
			cause = RouterPaused
		}
		return c.withdraw(NotRun{Cause: cause})
	case ResponseLost:
		return c.doubt(c.claim, c.revision)
	}
	return nil
}

func (c *Call) withdraw(v NotRun) []Effect {
	c.state = stateEnded
	return []Effect{Reply{Result: v}, ReleaseClaim{Claim: c.claim.released()}}
}

func (c *Call) end(v Result) []Effect {
	c.state = stateEnded
	return []Effect{Reply{Result: v}}
}
