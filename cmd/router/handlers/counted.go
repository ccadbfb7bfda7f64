package handlers

import (
	"net/http"

	"vanillalug.example/reception"
)

const (
	// requestLineBytes is about the length of a request or status line.
	requestLineBytes = 60
	// headerLineBytes is what a header line has besides name and value.
	headerLineBytes = 4
)

// counted counts the bytes of requests and answers, headers included.
func counted(count reception.ByteCounter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		out := &countedWriter{ResponseWriter: w}
		next(out, r)
		received := requestLineBytes + headerBytes(r.Header) + int(max(r.ContentLength, 0))
		count(requestLineBytes+headerBytes(w.Header())+out.n, received)
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

// countedWriter counts the bytes of the body.
type countedWriter struct {
	http.ResponseWriter
	n int
}

// Write implements http.ResponseWriter.
func (w *countedWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.n += n
	return n, err
}
