// Package schedule is the timer service. Parts subscribe to it instead of
// reading the wall clock, so that tests drive time by hand.
package schedule
