package channel

import (
	"net"
	"time"
)

// maxInlineBytes is the largest body that is written before the response is read, in bytes; it fits the
// socket buffers, so that writing can't block.
const maxInlineBytes = 4 << 10

// RequestWrite is the writing of a request, which goes on while its response is read.
type RequestWrite struct {
	conn *Conn
	done chan struct{}
	err  error
}

// WriteRequest writes a head and a body. A long body is written in a goroutine, as the server may respond
// before it has read the body; the error is that of a short one.
func (c *Conn) WriteRequest(head, body []byte) (*RequestWrite, error) {
	w := &RequestWrite{conn: c, done: make(chan struct{})}
	buffers := net.Buffers{head, body}
	write := func() {
		defer close(w.done)
		_, w.err = buffers.WriteTo(c.Conn)
	}
	if len(body) > maxInlineBytes {
		go write()
		return w, nil
	}
	write()
	return w, w.err
}

// Completed reports whether the request has been written in full by now.
func (w *RequestWrite) Completed() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// End ends the writing, as the other side has closed the connection, and reports whether the request had
// been written in full.
func (w *RequestWrite) End() bool {
	if err := w.conn.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return w.Completed()
	}
	<-w.done
	return w.err == nil
}
