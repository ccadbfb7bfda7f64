package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"

	"vanillalug.example/reception"
)

const (
	// firstResponseBytes is the buffer that a response of unknown length begins with.
	firstResponseBytes = 4 << 10
	responseGrowth     = 2
)

// readBody reads the body, as far as the router has memory for it.
func (t *transaction) readBody() *rejection {
	if t.r.ContentLength == 0 {
		return nil
	}
	body, err := reception.ReadRequestBody(t.w, t.r, t.table.Limits().BodyBytes(), t.deadline)
	if err != nil {
		return t.rejectBody(err)
	}
	t.body = body
	return nil
}

// rejectBody returns the rejection of a request whose body was not read. The connection can't be used
// any longer, unless the body has ended.
func (t *transaction) rejectBody(err error) *rejection {
	t.w.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	var refused *reception.BodyRefusedError
	switch {
	case errors.As(err, &tooLarge):
		return &rejection{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case errors.As(err, &refused) && refused.Short():
		return &rejection{status: http.StatusServiceUnavailable, reason: "no memory for the body", retryAfter: overloadRetryAfter, cause: err}
	case errors.As(err, &refused):
		return &rejection{status: http.StatusRequestTimeout, reason: "body given up", cause: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &rejection{status: http.StatusRequestTimeout, reason: "body not sent in time", cause: err}
	default:
		return &rejection{status: http.StatusBadRequest, reason: "body broken off", cause: err}
	}
}

// dropBody gives back the memory of the body when no target can need it any longer.
func (t *transaction) dropBody() {
	t.body = nil
	reception.ReleaseBody(t.r)
}

// bufferResponse reads the body of a response. If it is too large to be buffered, or memory is short,
// it returns what was read and false.
func (t *transaction) bufferResponse(response *http.Response) (body []byte, whole bool, err error) {
	n := 0
	for {
		if n == len(body) {
			larger, ok := t.growResponse(body, response.ContentLength)
			if !ok {
				return body, false, nil
			}
			body = larger
		}
		read, err := response.Body.Read(body[n:])
		n += read
		if errors.Is(err, io.EOF) {
			return body[:n], true, nil
		}
		if err != nil {
			return body[:n], true, err
		}
	}
}

// growResponse returns a larger buffer with the same content, or false if it would be too large or
// memory is short. One byte more than the stated length lets the read that gets the end have it.
func (t *transaction) growResponse(buffer []byte, length int64) ([]byte, bool) {
	size := max(firstResponseBytes, responseGrowth*len(buffer))
	if length >= 0 && length < int64(maxBufferedBody) && (int(length) >= len(buffer)) {
		size = min(size, int(length)+1)
	}
	if len(buffer) >= maxBufferedBody || !reception.HoldResponse(t.r, size) {
		return nil, false
	}
	larger := make([]byte, size)
	copy(larger, buffer)
	reception.ReleaseResponse(t.r, len(buffer))
	return larger, true
}
