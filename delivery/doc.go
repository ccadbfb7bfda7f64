// Package delivery decides whom a router asks for a configuration that its peers have and it lacks:
// a peer, a further one beside those that don't deliver, and the store. It does no I/O and reads no
// clock.
package delivery
