package reception

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"vanillalug.example/intake"
)

const (
	// firstResponseBytes is the buffer that a response of unknown length begins with.
	firstResponseBytes = 4 << 10
	responseGrowth     = 2
	// detachedBytes is how much of a response is read although its client has gone: enough for the
	// outcome that is recorded.
	detachedBytes = 64 << 10
)

// NoRoomError says that there is no memory for what a target sends.
type NoRoomError struct{ size int }

// Size returns the bytes for which there was no room.
func (e *NoRoomError) Size() int { return e.size }

// Error implements error.
func (e *NoRoomError) Error() string { return "no memory for a response" }

// Hold is what is charged to the connection of a client for a response that it hasn't received. It
// must not be used concurrently.
type Hold struct {
	conn *heldConn
	held int
}

// NewHold returns an empty Hold of the client's request to which the context belongs. Where there is
// none, or its server has no Intake, everything fits.
func NewHold(ctx context.Context) *Hold {
	c, _ := ctx.Value(heldConnKey{}).(*heldConn)
	return &Hold{conn: c}
}

// Cover charges what n bytes need beyond what is charged already. It returns false if there is no room.
func (h *Hold) Cover(n int) bool {
	if n <= h.held {
		return true
	}
	if h.conn != nil && !h.conn.grow(intake.Response, int64(n-h.held), time.Now()) {
		return n <= detachedBytes && h.conn.holder.Evicted() != ""
	}
	h.held = n
	return true
}

// Shrink gives back what is charged beyond n bytes.
func (h *Hold) Shrink(n int) {
	if n >= h.held {
		return
	}
	if h.conn != nil {
		h.conn.holder.Shrink(intake.Response, int64(h.held-n))
	}
	h.held = n
}

// ReadResponseBody reads the body of a response for the client's request to which the context belongs.
// It is charged as it arrives, until the client's connection has received it. The errors are a
// *BodyTooLargeError beyond the limit, in bytes, a *NoRoomError, and those of reading.
func ReadResponseBody(ctx context.Context, resp *http.Response, limit int) ([]byte, error) {
	hold := NewHold(ctx)
	body, err := readHeld(hold, resp, limit)
	if err != nil {
		hold.Shrink(0)
		return nil, err
	}
	hold.Shrink(len(body))
	return body, nil
}

func readHeld(hold *Hold, resp *http.Response, limit int) ([]byte, error) {
	var body []byte
	for n := 0; ; {
		if n > limit {
			return nil, &BodyTooLargeError{limit: limit}
		}
		if n == len(body) {
			size := min(max(firstResponseBytes, responseGrowth*n), limit+1)
			if l := resp.ContentLength; l >= int64(n) && l < int64(size) {
				size = int(l) + 1
			}
			if !hold.Cover(size) {
				return nil, &NoRoomError{size: size}
			}
			body = append(make([]byte, 0, size), body...)[:size]
		}
		read, err := resp.Body.Read(body[n:])
		n += read
		if errors.Is(err, io.EOF) && n <= limit {
			return body[:n], nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
}
