package crowd

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// endless is what a faulty target writes in place of a response, until the router closes the
// connection. Its head has the id of the request.
type endless func(w io.Writer, head string) error

const (
	endlessPiece = 16 << 10
	okStatus     = "HTTP/1.1 200 OK\r\n"
	chunkedBody  = "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessResponses are the ways in which bytes that are no response come without end.
var endlessResponses = map[string]endless{
	"header": func(w io.Writer, _ string) error {
		return forever(w, okStatus+"X-Long: ", strings.Repeat("x", endlessPiece))
	},
	"headers": func(w io.Writer, _ string) error {
		return forever(w, okStatus, strings.Repeat("A: b\r\n", endlessPiece/6))
	},
	"unlike headers": func(w io.Writer, _ string) error { return unlikeFields(w, okStatus) },
	"interim responses": func(w io.Writer, _ string) error {
		return forever(w, "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", endlessPiece/64))
	},
	"interim headers": func(w io.Writer, _ string) error { return unlikeFields(w, "HTTP/1.1 103 Early Hints\r\n") },
	"body": func(w io.Writer, head string) error {
		return forever(w, okStatus+head+"Connection: close\r\n\r\n", strings.Repeat("x", endlessPiece))
	},
	"body of zeros, compressed": func(w io.Writer, head string) error {
		return forever(w, okStatus+head+"Content-Encoding: gzip\r\nConnection: close\r\n\r\n", zeros())
	},
	"chunks": func(w io.Writer, head string) error {
		return forever(w, okStatus+head+chunkedBody, strings.Repeat("1\r\nx\r\n", endlessPiece/6))
	},
	"chunk extension": func(w io.Writer, head string) error {
		return forever(w, okStatus+head+chunkedBody+"5;", strings.Repeat("x", endlessPiece))
	},
	"trailers": func(w io.Writer, head string) error { return unlikeFields(w, okStatus+head+chunkedBody+"0\r\n") },
	"failure": func(w io.Writer, head string) error {
		return forever(w, "HTTP/1.1 500 Oops\r\n"+head+"Connection: close\r\n\r\n", strings.Repeat("x", endlessPiece))
	},
	"event": func(w io.Writer, head string) error {
		return forever(w, okStatus+head+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: ", strings.Repeat("x", endlessPiece))
	},
	"lines of an event": func(w io.Writer, head string) error {
		return forever(w, okStatus+head+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", strings.Repeat("data: x\n", endlessPiece/8))
	},
	"comments": func(w io.Writer, head string) error {
		return forever(w, okStatus+head+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n", strings.Repeat(": x\n", endlessPiece/4))
	},
}

func forever(w io.Writer, start, piece string) error {
	_, err := io.WriteString(w, start)
	for err == nil {
		_, err = io.WriteString(w, piece)
	}
	return err
}

// unlikeFields sends header fields of different names.
func unlikeFields(w io.Writer, start string) error {
	_, err := io.WriteString(w, start)
	for n := 0; err == nil; n++ {
		_, err = fmt.Fprintf(w, "A%x: b\r\n", n)
	}
	return err
}

func zeros() string {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(make([]byte, endlessPiece<<6))
	_ = w.Close()
	return out.String()
}

// endlessTarget answers reports and other requests without a body as a sound target of our own
// interface does, and each other request with the endless response.
type endlessTarget struct {
	listener net.Listener
	respond  endless
}

func newEndlessTarget(address string, respond endless) (*endlessTarget, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	t := &endlessTarget{listener: l, respond: respond}
	go t.serve()
	return t, nil
}

func (t *endlessTarget) serve() {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return
		}
		go t.serveConn(c)
	}
}

func (t *endlessTarget) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.Method == http.MethodGet {
			const report = `{"slots":1000,"first":0,"last":0}`
			if _, err := fmt.Fprintf(c, okStatus+"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report); err != nil {
				return
			}
			continue
		}
		_ = t.respond(c, headFor(r))
		return
	}
}

// headFor returns the header lines with the ids of a request, and the proof that the users' platform wants.
func headFor(r *http.Request) string {
	head := ""
	for _, id := range []string{"X-Attempt-Id", "X-Request-Id"} {
		if v := r.Header.Get(id); v != "" {
			head += id + ": " + v + "\r\n"
		}
	}
	if r.Header.Get("X-Attempt-Id") != "" {
		head += "X-Response-Seal: s\r\n"
	}
	return head
}
