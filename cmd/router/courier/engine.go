package courier

import (
	"context"
	"time"

	"vanillalug.example"
)

// Engine is what the fleet needs of a model engine.
type Engine interface {
	// Start sends a chat request and returns its stream.
	Start(ctx context.Context, address string, q ChatCall) (Stream, error)
	// Resume returns the stream of a request from an offset on.
	Resume(ctx context.Context, address, request string, offset int) (Stream, error)
	// Cancel ends the stream of a request for good.
	Cancel(ctx context.Context, address, request string) error
	// Report returns the load of an engine.
	Report(ctx context.Context, address string) (Report, error)
	// CacheEvents returns the cache events after a number.
	CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error)
	// CachedChats returns every chat that is cached.
	CachedChats(ctx context.Context, address string) (CachedChats, error)
}

// ChatCall is a chat request to an engine.
type ChatCall struct {
	Request  string
	Chat     vanillalug.ChatKey
	Priority int
	Body     []byte
}

// Stream is the answer of an engine or a peer, event by event.
type Stream interface {
	// Next returns the next event. It returns io.EOF when the connection
	// ended, and a *SilentError when nothing came for the idle bound.
	Next() (Event, error)
	// Close ends the connection.
	Close()
}

// Event is one event of a stream. The events of an answer have no name.
type Event struct {
	Name    string
	Request string
	Offset  int
	Data    []byte
	End     bool
}

// Report is the load of an engine or the word of a target.
type Report struct {
	InFlight int
	Slots    int
	Age      time.Duration
	Uptime   time.Duration
	Leaving  bool
}

// CacheEvents are cache events, the first of which has the number First.
type CacheEvents struct {
	First  uint64
	Events []CacheEvent
}

// CacheEvent says that a chat was stored or evicted.
type CacheEvent struct {
	Chat   vanillalug.ChatKey
	Stored bool
}

// CachedChats are all cached chats, after the event of the number Last.
type CachedChats struct {
	Last  uint64
	Chats []vanillalug.ChatKey
}
