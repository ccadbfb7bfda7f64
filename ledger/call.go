package ledger

import (
	"time"

	"vanillalug.example/schedule"
)

// MaxClaimAge is the longest time between the start of a claim and its
// dispatch. A router whose process was paused for longer does not dispatch.
const MaxClaimAge = 2 * time.Second

// maxReclaims is the number of times that one call claims a released key again.
const maxReclaims = 2

// Call is the state machine of one non-idempotent call. It belongs to one
// request and is not safe for concurrent use.
type Call struct {
	clock           schedule.Clock
	claim           Claim
	state           callState
	startedAt       time.Time
	revision        uint64
	reclaims        int
	canQueryOutcome bool
	unresolved      Claim
}

// CallOption changes a new Call.
type CallOption func(*Call)

// WithOutcomeQuery declares that the target supports outcome queries.
func WithOutcomeQuery() CallOption { return func(c *Call) { c.canQueryOutcome = true } }

type callState uint8

const (
	stateNew callState = iota
	stateClaiming
	stateReading
	stateDispatched
	stateQuerying
	stateEnded
)

// NewCall returns a call that has not started, with the claim of its
// idempotency key.
func NewCall(clock schedule.Clock, claim Claim, opts ...CallOption) *Call {
	c := &Call{clock: clock, claim: claim}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Handle processes an event and returns the effects to perform, in order.
func (c *Call) Handle(ev Event) []Effect {
	switch c.state {
	case stateNew:
		return c.start(ev)
	case stateClaiming:
		return c.claiming(ev)
	case stateReading:
		return c.reading(ev)
	case stateDispatched:
		return c.dispatched(ev)
	case stateQuerying:
		return c.querying(ev)
	}
	return nil
}

// MayDispatch reports whether the claim is at most MaxClaimAge old. The caller
// checks it again right before it sends the call.
func (c *Call) MayDispatch() bool {
	return c.clock.Now().Sub(c.startedAt) <= MaxClaimAge
}

func (c *Call) start(ev Event) []Effect {
	if _, ok := ev.(Begin); !ok {
		return nil
	}
	c.startedAt = c.clock.Now()
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

// reading handles the result of the read after a lost write response. Without a
// confirmed claim nothing is sent. The write may still take effect late, so the
// claim is released.
func (c *Call) reading(ev Event) []Effect {
	switch e := ev.(type) {
	case ClaimExists:
		return c.exists(e)
	case ClaimNotFound:
		return c.release(NotRun{Cause: TableUnavailable})
	case ClaimReadFailed:
		return c.release(NotRun{Cause: TableUnavailable, Earlier: true})
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
	return c.resolveUnknown(e.Claim, e.Revision)
}

// resolveUnknown queries the target for the outcome, if it supports that.
func (c *Call) resolveUnknown(claim Claim, revision uint64) []Effect {
	if !c.canQueryOutcome {
		return c.end(MayHaveRun{Claim: claim})
	}
	c.state = stateQuerying
	c.unresolved = claim
	c.revision = revision
	return []Effect{QueryOutcome{Claim: claim}}
}

// querying accepts an outcome that the target reports. A target without an
// outcome doesn't prove that the call was not run, since the request may still be
// in transit.
func (c *Call) querying(ev Event) []Effect {
	switch e := ev.(type) {
	case OutcomeFound:
		c.state = stateEnded
		done := c.unresolved.finished(e.Outcome)
		return []Effect{
			Reply{Result: Ran{Outcome: e.Outcome, Replayed: true}},
			StoreOutcome{Claim: done, Revision: c.revision},
		}
	case OutcomeUnknown:
		return c.end(MayHaveRun{Claim: c.unresolved})
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
		return c.release(NotRun{Cause: RouterPaused})
	}
	c.state = stateDispatched
	return []Effect{Dispatch{}}
}

func (c *Call) dispatched(ev Event) []Effect {
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
		return c.release(NotRun{Cause: cause})
	case ResponseLost:
		return c.resolveUnknown(c.claim, c.revision)
	}
	return nil
}

func (c *Call) release(v NotRun) []Effect {
	c.state = stateEnded
	return []Effect{Reply{Result: v}, ReleaseClaim{Claim: c.claim.released()}}
}

func (c *Call) end(v Result) []Effect {
	c.state = stateEnded
	return []Effect{Reply{Result: v}}
}
