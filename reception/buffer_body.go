package reception

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"
)

// callTimeout bounds how long the body of a call may take.
const callTimeout = 15 * time.Second

// BufferBody passes a request to a handler when its body has arrived, at most limit bytes. It is for
// handlers that would read a body of any size.
func BufferBody(w http.ResponseWriter, r *http.Request, limit int64, next http.Handler) {
	body, err := ReadRequestBody(w, r, limit, time.Now().Add(callTimeout))
	if err != nil {
		w.Header().Set("Connection", "close")
		http.Error(w, err.Error(), BodyStatus(err))
		return
	}
	// net/http goes on to see its own body in r.
	buffered := *r
	buffered.Body = io.NopCloser(bytes.NewReader(body))
	next.ServeHTTP(w, &buffered)
}

// BodyStatus returns the status of a request whose body ReadRequestBody didn't read.
func BodyStatus(err error) int {
	var tooLarge *http.MaxBytesError
	var refused *BodyRefusedError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &refused) && refused.Short():
		return http.StatusServiceUnavailable
	case errors.As(err, &refused):
		return http.StatusRequestTimeout
	default:
		return http.StatusBadRequest
	}
}
