// Package vanillalug holds the domain types of the router fleet: the fleet
// document with its places, services, engines, targets, workspaces and
// classes, and the types that all programs share.
//
// Nothing in this package does I/O or reads the clock.
package vanillalug
