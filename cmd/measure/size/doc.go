// Package size measures how the state and the processor time of each decision
// grow with the size of the fleet, with the decision code itself on a fake clock.
package size
