// Package desk is the admission control of one engine: it decides which requests
// start, which are queued, which spill to another engine and which are rejected.
//
// A Controller is a state machine without I/O. The router that owns admission
// for an engine has one Controller for it, which therefore holds the exact
// number of requests in flight there. The queue is served by weighted fair
// queueing, first among classes and then among the workspaces of a class.
package desk
