// Package caller is a caller of the fleet for load and tests. It checks that
// each answer is whole and its own.
package caller
