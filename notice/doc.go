// Package notice decides which requests a router still accepts that will stop at a known time, by how
// long requests like them took. It does no I/O and reads no clock.
package notice
