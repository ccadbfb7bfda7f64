// Package register decides which version of the fleet document is in force at
// one router, and whether the router can follow its rules.
//
// It is a state machine without I/O. Versions only rise. A version is heard of
// from the platform's table or from a peer and is fetched from the table, or
// from a peer when the table is out of reach.
package register
