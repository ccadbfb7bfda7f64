// Package crowdtest has crowds of clients that misbehave, as docs/HARD-LOAD.md names them, and reads
// what a router process uses meanwhile.
package crowdtest
