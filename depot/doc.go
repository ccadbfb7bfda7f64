// Package depot is what our own interface needs of a store: a
// transactional table, an object store and a list of VMs, each behind a small
// interface, with one adapter over HTTP.
package depot
