// Package probation asks targets whose entries in the registry may be out of date whether they serve, and as which run.
// The entry of a target that has left, or of a run before the present one, may be there as the registry has performed a
// heartbeat late.
package probation
