// Package office is the core of a router: it serves chat requests and service
// calls and holds their state. It executes the effects that the state machines
// of membership, configuration, placement, admission control and the call
// journal return.
package office
