// Package vanillalug holds the domain of the router fleet: the fleet
// document with its places, services, engines, targets, workspaces and
// classes, and the values that every program shares.
//
// Nothing in this package does I/O or reads the clock.
package vanillalug
