package channel

import (
	"fmt"
	"io"

	"vanillalug.example/reception"
)

// HeadTooLargeError says that the head of a response is longer than a limit.
type HeadTooLargeError struct{ limit int }

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the response has no end of its head within %d bytes", e.limit)
}

// NoRoomError says that there is no memory for the head of a response.
type NoRoomError struct{}

// Error implements error.
func (*NoRoomError) Error() string { return "no memory for the head of a response" }

// HoldFunc charges the memory that the given number of bytes of an unfinished head need in all. It
// returns false if there is none.
type HoldFunc func(bytes int) bool

// freeHeadBytes is how much of a head isn't charged; usual ones fit.
const freeHeadBytes = 4 << 10

// readLimit is a reader with a limit that can be set and lifted.
type readLimit struct {
	in    io.Reader
	limit int // 0 is no limit
	left  int
	hold  HoldFunc // nil if nothing is charged
	// check checks the head that is awaited.
	check reception.HeadCheck
}

// set begins a head, of which the bytes that were read before are given.
func (r *readLimit) set(limit int, hold HoldFunc, before []byte) error {
	r.limit, r.left, r.hold = limit, limit, hold
	r.check = reception.HeadCheck{}
	return r.check.Feed(before)
}

func (r *readLimit) lift() { r.limit, r.hold = 0, nil }

func (r *readLimit) Read(p []byte) (int, error) {
	if r.limit == 0 {
		return r.in.Read(p)
	}
	if r.left == 0 {
		return 0, &HeadTooLargeError{limit: r.limit}
	}
	n, err := r.in.Read(p[:min(len(p), r.left)])
	r.left -= n
	if malformed := r.check.Feed(p[:n]); malformed != nil {
		return 0, malformed
	}
	if read := r.limit - r.left; r.hold != nil && read > freeHeadBytes && !r.hold(read) {
		return 0, &NoRoomError{}
	}
	return n, err
}
