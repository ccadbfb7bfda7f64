package handlers

import (
	"net/http"

	"vanillalug.example/reception"
)

const (
	// requestLineBytes approximates the length of a request or status line.
	requestLineBytes = 60
	// headerLineBytes is the length of a header line without name and value.
	headerLineBytes = 4
)

// countBytes counts the bytes of requests and responses, headers included.
func countBytes(count reception.ByteCounter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		cw := &countingWriter{ResponseWriter: w}
		next(cw, r)
		received := requestLineBytes + headerBytes(r.Header) + int(max(r.ContentLength, 0))
		count(requestLineBytes+headerBytes(w.Header())+cw.n, received)
	}
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + headerLineBytes
		}
	}
	return n
}

// countingWriter counts the bytes of the response body.
type countingWriter struct {
	http.ResponseWriter
	n int
}

// Write implements http.ResponseWriter.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.n += n
	return n, err
}
