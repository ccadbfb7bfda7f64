package reception

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"vanillalug.example/intake"
)

const (
	// headFactor is what a byte of an unfinished head is charged with: a field of few bytes needs
	// much more in a map. It is corrected when the head is complete.
	headFactor = 16
	// fieldBytes is what a header field needs besides its text.
	fieldBytes = 96
	// writePiece is how much is written at a time, so that slow reading counts as progress.
	writePiece = 64 << 10
	// stallTimeout is how long a client may read nothing, where the handler sets no deadline.
	stallTimeout = 30 * time.Second
	// lingerTime is how long a connection with unread data is kept after the response: closing it
	// sooner may reset it before the client has read the response.
	lingerTime = 500 * time.Millisecond
	// maxLingering bounds the descriptors of such connections.
	maxLingering = 32
)

// The phases of a connection.
const (
	phaseHead int32 = iota // waits for a request's head, or reads it
	phaseHandler
	phaseBody // the handler reads the body
)

// heldConn is a client's connection with what is held for it.
type heldConn struct {
	*net.TCPConn
	intake *Intake
	holder *intake.Holder
	server string

	phase            atomic.Int32
	hasWriteDeadline atomic.Bool
	// bodyRead says that the body of the request was read up to its end, and unread that data of
	// the client was left out.
	bodyRead atomic.Bool
	unread   atomic.Bool
	once     sync.Once
}

type heldConnKey struct{}

// connContext implements http.Server.ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, heldConnKey{}, c)
}

// heldConnOf returns the connection of a request, or nil if its server has no Intake.
func heldConnOf(r *http.Request) *heldConn {
	c, _ := r.Context().Value(heldConnKey{}).(*heldConn)
	return c
}

// Read implements net.Conn. It charges a head as it arrives.
func (c *heldConn) Read(p []byte) (int, error) {
	if len(p) == 1 {
		// net/http's background read, which detects that the client has gone.
		return c.TCPConn.Read(p)
	}
	c.holder.Await(time.Now())
	n, err := c.TCPConn.Read(p)
	now := time.Now()
	c.holder.Received(n, now)
	if n > 0 && c.phase.Load() == phaseHead && !c.grow(intake.Head, int64(n)*headFactor, now) {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *heldConn) Write(p []byte) (int, error) {
	written := 0
	for first := true; first || written < len(p); first = false {
		now := time.Now()
		if !c.hasWriteDeadline.Load() {
			_ = c.TCPConn.SetWriteDeadline(now.Add(stallTimeout))
		}
		c.holder.Await(now)
		n, err := c.TCPConn.Write(p[written:min(len(p), written+writePiece)])
		written += n
		c.holder.Received(n, time.Now())
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// ReadFrom implements io.ReaderFrom by Write, as net/http would write past it otherwise.
func (c *heldConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// SetWriteDeadline implements net.Conn.
func (c *heldConn) SetWriteDeadline(at time.Time) error {
	c.hasWriteDeadline.Store(!at.IsZero())
	return c.TCPConn.SetWriteDeadline(at)
}

// Close implements net.Conn. The client may still read the response if some of what it sent was
// left out.
func (c *heldConn) Close() error {
	var err error
	c.once.Do(func() {
		if !c.unread.Load() || c.intake.lingering.Add(1) > maxLingering {
			if c.unread.Load() {
				c.intake.lingering.Add(-1)
			}
			c.intake.remove(c.holder)
			err = c.TCPConn.Close()
			return
		}
		_ = c.CloseWrite()
		time.AfterFunc(lingerTime, func() {
			c.intake.lingering.Add(-1)
			c.intake.remove(c.holder)
			_ = c.TCPConn.Close()
		})
	})
	return err
}

// giveUp ends what the connection holds. A handler that reads a body can still refuse the request.
func (c *heldConn) giveUp() {
	if c.phase.Load() == phaseBody {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	_ = c.Close()
}

func (c *heldConn) grow(k intake.Kind, n int64, now time.Time) bool {
	granted, evictions := c.holder.Grow(k, n, now)
	c.intake.evict(evictions)
	return granted
}

// connState follows net/http: a connection becomes active when a head was read.
func (c *heldConn) connState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.bodyRead.Store(false)
		c.phase.Store(phaseHandler)
		c.holder.SetBusy(true, time.Now())
	case http.StateIdle:
		c.holder.FinishRequest()
		c.unread.Store(false)
		c.phase.Store(phaseHead)
		c.holder.SetBusy(false, time.Now())
	}
}

// beginRequest charges the complete head. It returns false if the request has to be refused.
func (c *heldConn) beginRequest(r *http.Request) bool {
	if r.ContentLength == 0 {
		c.bodyRead.Store(true)
	}
	cost := int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, v := range values {
			cost += int64(len(name) + len(v) + fieldBytes)
		}
	}
	charged := c.holder.Held(intake.Head)
	if cost <= charged {
		c.holder.Shrink(intake.Head, charged-cost)
		return true
	}
	return c.grow(intake.Head, cost-charged, time.Now())
}

// refuseBody makes net/http close the connection after the response in place of reading the rest of
// the body, up to 256 KB, for as long as the client takes.
func (c *heldConn) refuseBody() {
	c.unread.Store(true)
	_ = c.SetReadDeadline(time.Unix(1, 0))
}
