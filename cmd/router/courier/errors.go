package courier

import (
	"fmt"
	"time"
)

// IdleTimeoutError reports that nothing was received on a connection for the
// idle timeout.
type IdleTimeoutError struct{ timeout time.Duration }

// Timeout returns the idle timeout.
func (e *IdleTimeoutError) Timeout() time.Duration { return e.timeout }

// Error implements error.
func (e *IdleTimeoutError) Error() string { return fmt.Sprintf("silent for %s", e.timeout) }

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	status int
	body   string
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Body returns the start of the body.
func (e *StatusError) Body() string { return e.body }

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

// UnsentError reports that no byte of a request was sent, so that the target
// can't have run it.
type UnsentError struct{ cause error }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.cause }

// Error implements error.
func (e *UnsentError) Error() string { return fmt.Sprintf("not sent: %v", e.cause) }

// TooLargeError reports an event over the size limit.
type TooLargeError struct{ limit int }

// Limit returns the limit in bytes.
func (e *TooLargeError) Limit() int { return e.limit }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("larger than %d bytes", e.limit) }
