// Package crew keeps what is believed of the targets: which lifetime of a
// target has an address, whether it takes new work, and from which version of
// the registry the belief comes.
package crew
