// Package roster decides the membership of routers: which peers are alive,
// suspected, leaving or gone.
//
// It is a state machine without I/O. Each Event returns the Effects to carry
// out. Members are probed in random order; a member that answers neither
// directly nor through others is suspected, and is gone when it does not
// refute the suspicion in time by a higher incarnation.
package roster
