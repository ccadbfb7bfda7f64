package wiretest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
)

// Server accepts connections and responds to each request with bytes of the test's own.
type Server struct {
	listener net.Listener
	respond  func(c net.Conn, r *http.Request) (goesOn bool)
}

// NewServer starts a server on the loopback interface. respond writes the response to a request, whose
// body it may read; it returns false if the connection is to be closed.
func NewServer(respond func(c net.Conn, r *http.Request) (goesOn bool)) (*Server, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, respond: respond}
	go s.accept()
	return s, nil
}

// Text returns a function for NewServer that reads the body of a request, writes a text and closes the
// connection.
func Text(text string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
		return false
	}
}

// TextUnread is Text that leaves the body unread, so that closing resets the connection.
func TextUnread(text string) func(net.Conn, *http.Request) bool {
	return func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, text)
		return false
	}
}

// Address returns the IP:port address.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil || !s.respond(c, r) {
			return
		}
	}
}
