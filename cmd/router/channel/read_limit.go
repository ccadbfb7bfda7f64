package channel

import (
	"fmt"
	"io"
)

// HeadTooLargeError says that the head of a response is longer than a limit.
type HeadTooLargeError struct{ limit int }

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the response has no end of its head within %d bytes", e.limit)
}

// readLimit is a reader with a limit that can be set and lifted.
type readLimit struct {
	in    io.Reader
	limit int // 0 is no limit
	left  int
}

func (r *readLimit) set(limit int) { r.limit, r.left = limit, limit }

func (r *readLimit) lift() { r.limit = 0 }

func (r *readLimit) Read(p []byte) (int, error) {
	if r.limit == 0 {
		return r.in.Read(p)
	}
	if r.left == 0 {
		return 0, &HeadTooLargeError{limit: r.limit}
	}
	n, err := r.in.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}
