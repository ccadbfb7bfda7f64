// Package stage runs a whole fleet with its stand-ins as processes on the
// loopback interface, for the demonstration and for scenarios.
package stage
