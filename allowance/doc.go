// Package allowance decides whether a retry may be sent. Each workspace earns
// a fixed part of a retry with every request and spends one with every retry,
// so that retries never multiply the load of a fleet in trouble. A Window
// bounds the repeated sends of each service in any span, for all routers
// together.
package allowance
