package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	// lastEvent and resumes are of a stream that is taken up again: its last event, and the first attempt.
	lastEvent, resumes string
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// err is the error of the channel; nil for a complete answer.
	err error
	// closes says that the channel is not to be used again.
	closes bool
	// sentAt and took tell when.
	sentAt time.Time
	took   time.Duration
}

// channel is a client's kept channel to a router.
type channel struct {
	router string
	conn   net.Conn
	in     *bufio.Reader
	used   int
}

var attempts atomic.Int64

// newID returns the id of a new attempt.
func (f *fleet) newID() string { return fmt.Sprintf("%08x%06x", f.run, attempts.Add(1)) }

func dial(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{router: address, conn: c, in: bufio.NewReader(c)}, nil
}

func (c *channel) close() { _ = c.conn.Close() }

func (q request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		q.method, q.path, host, q.id, q.deadline.Milliseconds(), apiKey)
	if q.lastEvent != "" {
		fmt.Fprintf(&b, "Last-Event-Id: %s\r\nResumes: %s\r\n", q.lastEvent, q.resumes)
	}
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.WriteString(q.body)
	return b.String()
}

// do sends a request and reads the answer.
func (c *channel) do(q request) answer {
	c.used++
	a := answer{sentAt: time.Now()}
	_ = c.conn.SetDeadline(a.sentAt.Add(q.deadline + time.Second))
	defer func() { a.took = time.Since(a.sentAt) }()
	if _, err := io.WriteString(c.conn, q.text()); err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	if _, err := c.in.Peek(1); err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	w, err := http.ReadResponse(c.in, &http.Request{Method: q.method})
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return a
	}
	a.status, a.header = w.StatusCode, w.Header
	a.body, a.err = io.ReadAll(w.Body)
	a.closes = w.Close
	a.took = time.Since(a.sentAt)
	return a
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, channel ended: %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d, %d bytes, complete", a.status, len(a.body))
}
