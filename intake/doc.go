// Package intake accounts for the memory that a router holds for callers and targets, and decides
// which connection is given up when it runs short. It does no I/O and reads no clock.
package intake
