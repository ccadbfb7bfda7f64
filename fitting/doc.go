// Package fitting selects a target for each request and decides on admission:
// it weighs cached prompts against load, limits the load of each target, and
// rejects requests that would start too late. It does no I/O and reads no clock.
package fitting
