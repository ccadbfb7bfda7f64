package courier

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/reception"
)

// copyingServer answers each request on a connection and, when the next one has
// arrived, sends the answer to the one before again.
type copyingServer struct {
	listener net.Listener
	// echo adds the request id to the responses.
	echo bool
	// body returns the body of the response to a request.
	body func(r *http.Request) string
}

func newCopyingServer(t *testing.T, echo bool, body func(*http.Request) string) *copyingServer {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &copyingServer{listener: l, echo: echo, body: body}
	go s.accept()
	return s
}

func (s *copyingServer) address() string { return s.listener.Addr().String() }

func (s *copyingServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve serves the requests of one connection.
func (s *copyingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	last := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, last)
		header := ""
		if s.echo {
			header = RequestHeader + ": " + r.Header.Get(RequestHeader) + "\r\n"
		}
		body := s.body(r)
		last = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\n%s", len(body), header, body)
		_, _ = io.WriteString(c, last)
	}
}

// TestLateCopyOfServiceResponse checks that a second copy of a response that arrives
// after the next call was sent on the connection is not taken for its response.
func TestLateCopyOfServiceResponse(t *testing.T) {
	for name, echo := range map[string]bool{"target echoes the request id": true, "target does not": false} {
		t.Run(name, func(t *testing.T) {
			server := newCopyingServer(t, echo, func(r *http.Request) string { return "body of " + r.URL.Path })
			s := NewHTTPService(reception.NewClient("pooled"), reception.NewClient("unpooled", reception.WithoutConnectionReuse()), nil)
			right := 0
			for n := 1; n <= 12; n++ {
				w, err := s.Call(context.Background(), server.address(), ServiceCall{Method: http.MethodGet, Path: fmt.Sprintf("/%d", n)})
				if err != nil {
					var mismatch *MismatchError
					require.ErrorAs(t, err, &mismatch)
					continue
				}
				require.Equal(t, fmt.Sprintf("body of /%d", n), string(w.Body))
				require.Empty(t, w.Header.Get(RequestHeader), "the caller does not see the id")
				right++
			}
			require.GreaterOrEqual(t, right, 6)
		})
	}
}

// TestLateCopyOfOutcome checks the same for the outcome of a non-idempotent call.
func TestLateCopyOfOutcome(t *testing.T) {
	server := newCopyingServer(t, false, func(r *http.Request) string { return "outcome of " + r.URL.Path })
	s := NewHTTPService(reception.NewClient("pooled"), reception.NewClient("unpooled", reception.WithoutConnectionReuse()), nil)
	for n := 1; n <= 4; n++ {
		w, err := s.Outcome(context.Background(), server.address(), "/outcomes/{key}", "w", fmt.Sprint(n))
		if err == nil {
			require.Equal(t, fmt.Sprintf("outcome of /outcomes/%d", n), string(w.Body))
		}
	}
}

// TestLateCopyOfStream checks the same for the stream of an engine whose events have
// no ids.
func TestLateCopyOfStream(t *testing.T) {
	server := newCopyingServer(t, false, func(r *http.Request) string {
		return "data: " + r.Header.Get(requestIDHeader) + "\n\ndata: [DONE]\n\n"
	})
	e := newTestEngineClient(time.Second, time.Second)
	for n := 1; n <= 6; n++ {
		s, err := e.Start(context.Background(), server.address(), ChatCall{Request: fmt.Sprint(n)})
		require.NoError(t, err)
		ev, err := s.Next()
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(n), string(ev.Data))
		for !ev.End {
			ev, err = s.Next()
			require.NoError(t, err)
		}
		_, err = s.Next()
		require.ErrorIs(t, err, io.EOF)
		s.Close()
	}
}

func newTestEngineClient(first, idle time.Duration) *HTTPEngine {
	return NewHTTPEngine(reception.NewClient("engines", EngineConnections()), reception.NewClient("reports"), reception.NewClient("events"), first, idle)
}
