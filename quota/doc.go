// Package quota shares the requests a second that a target takes from all routers
// together, and the places at a target that is brittle. A Table holds the limit that each target
// named last, an Issuer gives out the permits and places of the targets that this router is
// responsible for. It has no I/O and no clock.
package quota
