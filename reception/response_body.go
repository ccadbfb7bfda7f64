package reception

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
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

// responseBody counts what is read of a response, and restarts its idle timeout.
type responseBody struct {
	io.ReadCloser
	ctx      context.Context
	idle     *idleTimer
	received int64
	limit    int // 0 is no limit
}

func newResponseBody(ctx context.Context, resp *http.Response, limit int) *responseBody {
	idle := idleTimerOf(ctx)
	idle.expect(resp.ContentLength)
	return &responseBody{ReadCloser: resp.Body, ctx: ctx, idle: idle, limit: limit}
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.received += int64(n)
	if n > 0 {
		b.idle.receive(n)
	}
	if b.limit > 0 && b.received > int64(b.limit) {
		return 0, &BodyTooLargeError{limit: b.limit}
	}
	if err == nil || errors.Is(err, io.EOF) {
		return n, err
	}
	if cause := context.Cause(b.ctx); cause != nil {
		err = cause
	}
	return n, &IncompleteBodyError{received: b.received, err: err}
}
