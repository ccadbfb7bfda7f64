// Package roster implements a SWIM-style gossip membership protocol for routers: it
// decides which peers are alive, suspected, leaving or gone.
//
// It is a state machine without I/O. Handling an Event returns the Effects to
// perform. Members are probed in random order. A member that answers neither a
// direct nor an indirect probe is suspected. It is gone if it does not refute the
// suspicion with a higher incarnation before the suspicion timeout.
package roster
