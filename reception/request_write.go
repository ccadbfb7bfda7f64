package reception

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// RequestNotWrittenError is returned for a body that ends with its connection while the request was not
// written in full: the connection may have been reset, which only the writer learned.
type RequestNotWrittenError struct{}

// Error implements error.
func (*RequestNotWrittenError) Error() string {
	return "the connection ended while the request was being written"
}

// Unwrap returns io.ErrUnexpectedEOF, as the body is incomplete.
func (*RequestNotWrittenError) Unwrap() error { return io.ErrUnexpectedEOF }

// EndsWithConn reports whether the body of a response has neither a length nor chunks, so that it ends
// with its connection.
func EndsWithConn(w *http.Response) bool {
	return w.ContentLength < 0 && len(w.TransferEncoding) == 0
}

// ConnBody is the body of a response that ends with its connection. written reports whether the request
// had been written in full; it is called when the connection has ended.
type ConnBody struct {
	io.ReadCloser
	written func() bool
}

// NewConnBody returns the body with the check.
func NewConnBody(body io.ReadCloser, written func() bool) *ConnBody {
	return &ConnBody{ReadCloser: body, written: written}
}

// Read implements io.Reader. It returns a *RequestNotWrittenError in place of io.EOF.
func (b *ConnBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && !b.written() {
		return n, &RequestNotWrittenError{}
	}
	return n, err
}

// traceWrite returns a context in which written is set once the request has been written in full.
func traceWrite(ctx context.Context) (traced context.Context, written *atomic.Bool) {
	written = &atomic.Bool{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(httptrace.GotConnInfo) { written.Store(false) },
		WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) },
	}), written
}
