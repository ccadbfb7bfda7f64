// Package allowance decides whether a retry may be sent. Each workspace earns
// a fixed part of a retry with every request and spends one with every retry,
// so that retries never multiply the load of a fleet in trouble.
package allowance
