// Package plan holds the routing table: which service handles a host and path,
// with which limits, and which workspace an API key belongs to. A Table is
// immutable; a new version replaces it as a whole.
package plan
