// Package ledger implements at-most-once execution of non-idempotent calls with
// idempotency keys. A result states that the call was run, that it was not run,
// or that its outcome is unknown.
//
// A Call is a state machine without I/O for one request. It claims the
// idempotency key in the platform's table by a conditional write, dispatches
// once after the claim is confirmed, and records the outcome. A claim is never
// taken over by another attempt. It is released only with proof that the call
// was not sent.
package ledger
