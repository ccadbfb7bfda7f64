// Package stage is a test harness that runs a whole fleet, with stand-ins for the
// systems around it, as processes on the loopback interface. The demonstration
// and the scenario tests use it.
package stage
