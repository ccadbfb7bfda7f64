package intake

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// ConnectionBytes is what an open connection needs: its goroutine and its buffers.
const ConnectionBytes = 10 << 10

// Reason says why a holder was evicted.
type Reason string

// The reasons of evictions.
const (
	// ReasonShort means that the account ran short and the holder had gone longest without progress.
	ReasonShort Reason = "memory is short"
	// ReasonAddress means that the unfinished bodies of its address hold too much.
	ReasonAddress Reason = "too much for one address"
	// ReasonConns means that the listener has as many connections as it may.
	ReasonConns Reason = "too many connections"

	reasonClosed Reason = "closed"
)

// Group is a listener: holders of a group share a limit of connections.
type Group int

// Holder is one connection. Its methods are safe for concurrent use; a nil Holder holds nothing and
// is granted everything.
type Holder struct {
	account *Account
	group   Group
	address netip.Addr

	// waiting says that the router waits for the client: to send, or to read. progress is the time
	// up to which the client has made progress, in nanoseconds. Both are written for every read
	// and write, so that they are not under the account's mutex.
	waiting  atomic.Bool
	busy     atomic.Bool
	progress atomic.Int64

	// The account's mutex guards the rest.
	held      [kinds]int64
	total     int64
	inReserve bool
	evicted   Reason
}

// Await says that the router waits for the client from now on.
func (h *Holder) Await(now time.Time) {
	if h == nil {
		return
	}
	h.progress.Store(max(h.progress.Load(), now.Add(-maxDebt).UnixNano()))
	h.waiting.Store(true)
}

// Received says that the wait is over, as the client has sent or read n bytes. A client that
// transfers very little makes little progress.
func (h *Holder) Received(n int, now time.Time) {
	if h == nil {
		return
	}
	h.waiting.Store(false)
	earned := time.Duration(n) * time.Second / progressRate
	h.progress.Store(min(now.UnixNano(), h.progress.Load()+int64(earned)))
}

// SetBusy says whether a request is being served on the connection.
func (h *Holder) SetBusy(busy bool, now time.Time) {
	if h == nil {
		return
	}
	h.busy.Store(busy)
	h.progress.Store(now.UnixNano())
}

const (
	// progressRate is the rate in bytes a second at which a client counts as making progress all
	// the time. A body of 4 MiB within 15 s is far above it.
	progressRate = 16 << 10
	// maxDebt bounds how long a client counts as having made no progress when it starts again.
	maxDebt = time.Minute
)

// stalledFor returns how long the client has made no progress.
func (h *Holder) stalledFor(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - h.progress.Load())
}
