// Package crew holds the view of the service registry: which incarnation of a
// target has an address, whether it takes new work, and as of which revision of
// the registry that is known.
package crew
