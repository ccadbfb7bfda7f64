package courier

import (
	"context"
	"time"

	"vanillalug.example"
)

// Engine is a client of model engines. The engine is at the given address.
type Engine interface {
	// Start sends a chat request and returns its stream.
	Start(ctx context.Context, address string, q ChatCall) (Stream, error)
	// Resume returns the stream of a request, starting at an offset.
	Resume(ctx context.Context, address, request string, offset int) (Stream, error)
	// Cancel aborts a request; its stream can't be resumed after that.
	Cancel(ctx context.Context, address, request string) error
	// Report returns the load of an engine.
	Report(ctx context.Context, address string) (Report, error)
	// CacheEvents returns the cache events after a sequence number.
	CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error)
	// CachedChats returns all cached chats.
	CachedChats(ctx context.Context, address string) (CachedChats, error)
}

// ChatCall is a chat request to an engine.
type ChatCall struct {
	Request  string
	Chat     vanillalug.ChatKey
	Priority int
	Body     []byte
}

// Stream reads the response of an engine or a peer event by event.
type Stream interface {
	// Next returns the next event. It returns io.EOF when the connection
	// ended, and an *IdleTimeoutError when nothing was received for the idle
	// timeout.
	Next() (Event, error)
	// Close closes the connection.
	Close()
}

// Event is one event of a stream. The chunks of a response are events without
// a name, and End marks the last one.
type Event struct {
	Name    string
	Request string
	Offset  int
	Data    []byte
	End     bool
}

// Report is the load report of a target. For a target of a service only Leaving
// is set.
type Report struct {
	InFlight int
	Slots    int
	Age      time.Duration
	Uptime   time.Duration
	Leaving  bool
}

// CacheEvents are consecutive cache events; First is the sequence number of the
// first one.
type CacheEvents struct {
	First  uint64
	Events []CacheEvent
}

// CacheEvent reports that a chat was stored in or evicted from the cache.
type CacheEvent struct {
	Chat   vanillalug.ChatKey
	Stored bool
}

// CachedChats are all cached chats as of the cache event with the sequence
// number Last.
type CachedChats struct {
	Last  uint64
	Chats []vanillalug.ChatKey
}
