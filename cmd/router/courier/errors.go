package courier

import (
	"fmt"
	"time"
)

// IdleTimeoutError says that a connection brought nothing for the idle bound.
type IdleTimeoutError struct{ bound time.Duration }

// Timeout returns the idle bound.
func (e *IdleTimeoutError) Timeout() time.Duration { return e.bound }

// Error implements error.
func (e *IdleTimeoutError) Error() string { return fmt.Sprintf("silent for %s", e.bound) }

// StatusError says that a target answered with an unexpected status.
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

// UnsentError says that a request was proved not to have been sent.
type UnsentError struct{ cause error }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.cause }

// Error implements error.
func (e *UnsentError) Error() string { return fmt.Sprintf("not sent: %v", e.cause) }

// TooLargeError says that an event or answer is over the limit.
type TooLargeError struct{ limit int }

// Limit returns the limit in bytes.
func (e *TooLargeError) Limit() int { return e.limit }

// Error implements error.
func (e *TooLargeError) Error() string { return fmt.Sprintf("larger than %d bytes", e.limit) }
