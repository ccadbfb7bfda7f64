package dispatch

import "vanillalug.example"

// Event is something that happened to a Keeper.
type Event interface{ keeperEvent() }

// Lookup asks where a chat is cached. Next is the engine that follows this one
// in the chat's rendezvous order. Inherited says that another keeper sent the
// chat here because it did not know it; Home is then the engine that did.
// Deeper says that there is time to ask the engine after this one too. Final
// says that the chat is to be served here.
type Lookup struct {
	Chat        vanillalug.ChatKey
	Returning   bool
	Next        string
	Home        string
	Speculative bool
	CanForward  bool
	NoRedirect  bool
}

// Admitted says that the engine serves the chat now.
type Admitted struct{ Chat vanillalug.ChatKey }

// Spilled says that the chat was sent to another engine, for want of room.
type Spilled struct {
	Chat   vanillalug.ChatKey
	Engine string
}

// CacheChanged carries cache events of the engine. First is the number of the
// first one; a gap to the last known number loses the index.
type CacheChanged struct {
	First   uint64
	Changes []CacheChange
}

// CacheSynced carries the whole list of the chats cached at the engine, true
// after the event of the number.
type CacheSynced struct {
	Last  uint64
	Chats []vanillalug.ChatKey
}

// EngineRestarted says that the engine has lost its cache.
type EngineRestarted struct{}

func (Lookup) keeperEvent()          {}
func (Admitted) keeperEvent()        {}
func (Spilled) keeperEvent()         {}
func (CacheChanged) keeperEvent()    {}
func (CacheSynced) keeperEvent()     {}
func (EngineRestarted) keeperEvent() {}

// CacheChange says that a chat's prefix was stored or evicted.
type CacheChange struct {
	chat   vanillalug.ChatKey
	stored bool
}

// NewCacheChange returns the change of one chat.
func NewCacheChange(chat vanillalug.ChatKey, stored bool) CacheChange {
	return CacheChange{chat: chat, stored: stored}
}

// Chat returns the chat.
func (c CacheChange) Chat() vanillalug.ChatKey { return c.chat }

// Stored reports whether the prefix was stored, not evicted.
func (c CacheChange) Stored() bool { return c.stored }
