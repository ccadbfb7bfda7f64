// Package register tracks the active version of the fleet document at one
// router, and whether the router supports its rules level. It also has the state
// machine by which an operator publishes a version, and the diff of two versions.
//
// It does no I/O. Versions only increase. A router learns of a version from the
// platform's table or from a peer and fetches the document from the same source,
// so that peers propagate a version while the platform is unreachable.
package register
