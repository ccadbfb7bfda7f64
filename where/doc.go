// Package where has the messages by which an operator asks a router where a request would go now, and
// why. It does no I/O; the router's decision code gives the answer.
package where
