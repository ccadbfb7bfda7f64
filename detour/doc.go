// Package detour decides when a router sends requests through another one because it can't reach
// the targets of a service itself. It does no I/O and reads no clock.
package detour
