// Package schedule provides a clock with timers. Code uses it instead of package
// time, so that tests control the time.
package schedule
