// Package reception holds the HTTP code that all programs share: servers and
// clients without the go-zero middlewares that would duplicate decisions of the
// fleet, problem responses, and logging.
package reception
