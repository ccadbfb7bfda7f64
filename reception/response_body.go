package reception

import (
	"errors"
	"fmt"
	"io"
)

// IncompleteBodyError says that reading the body of a response failed.
type IncompleteBodyError struct {
	received int64
	err      error
}

// Received returns how many bytes of the body had arrived.
func (e *IncompleteBodyError) Received() int64 { return e.received }

// Error implements error.
func (e *IncompleteBodyError) Error() string {
	return fmt.Sprintf("response body incomplete after %d bytes: %v", e.received, e.err)
}

// Unwrap returns the error of the connection or the context.
func (e *IncompleteBodyError) Unwrap() error { return e.err }

// responseBody counts what is read of a response.
type responseBody struct {
	io.ReadCloser
	received int64
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	return n, &IncompleteBodyError{received: b.received, err: err}
}
