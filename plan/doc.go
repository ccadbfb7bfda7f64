// Package plan holds the routing table that is in force: which service answers
// a host and path, under which limits, and which workspace a key belongs to.
// A Plan never changes once built; a new version replaces it whole.
package plan
