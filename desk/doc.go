// Package desk decides admission to one engine: which requests start, which
// wait, which go to another engine and which are refused.
//
// A Desk is a state machine without I/O. The router that admits for an engine
// keeps one Desk for it, which therefore holds the exact number of requests in
// flight there. Waiting requests are served by weighted fair queueing, first
// among classes and then among the workspaces of a class.
package desk
