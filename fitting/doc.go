// Package fitting chooses a target for a request and decides whether it fits
// there: reuse of cached prompts, shared knowledge of loads, bounds, and what
// can't be served in time. It does no I/O and reads no clock.
package fitting
