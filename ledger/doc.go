// Package ledger decides non-idempotent calls, so that each runs at most once
// and its caller is told the truth about it.
//
// A Call is a state machine without I/O for one request. It claims the
// idempotency key in the platform's table by a conditional write, dispatches
// once after the claim is confirmed, and records the outcome. A claim is never
// taken over. It is released only with proof that the call was not sent.
package ledger
