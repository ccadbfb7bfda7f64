// Package size measures how the state and the work of each decision grow,
// with the decision code itself on a fake clock.
package size
