package reception

import (
	"fmt"
	"io"
)

// BodyTooLargeError reports a response body that is longer than a limit.
type BodyTooLargeError struct{ limit int }

// Limit returns the limit in bytes.
func (e *BodyTooLargeError) Limit() int { return e.limit }

// Error implements error.
func (e *BodyTooLargeError) Error() string {
	return fmt.Sprintf("body is longer than %d bytes", e.limit)
}

// ReadBody reads a body of at most limit bytes. It returns a *BodyTooLargeError for a
// longer one: a part must not pass for the whole.
func ReadBody(body io.Reader, limit int) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > limit {
		return nil, &BodyTooLargeError{limit: limit}
	}
	return raw, nil
}
