package dispatch

import "vanillalug.example"

// Event is an input to a CacheIndex.
type Event interface{ cacheIndexEvent() }

// Lookup asks where a chat is cached. Returning is whether the chat has had
// earlier turns. Next is the engine that follows this one in the chat's
// rendezvous order, or "". Speculative is whether the index of another engine
// redirected the chat here because it had no entry for it; Home is then that
// engine. CanForward is whether the hop limit allows one more speculative
// redirect. NoRedirect is whether this engine must serve the chat even if the
// prompt isn't cached here.
type Lookup struct {
	Chat        vanillalug.ChatKey
	Returning   bool
	Next        string
	Home        string
	Speculative bool
	CanForward  bool
	NoRedirect  bool
}

// Admitted means that the engine now serves the chat.
type Admitted struct{ Chat vanillalug.ChatKey }

// Spilled means that the chat was sent to another engine for lack of capacity.
type Spilled struct {
	Chat   vanillalug.ChatKey
	Engine string
}

// CacheChanged carries cache events of the engine. First is the sequence number
// of the first one. After a gap in the sequence the index is incomplete until
// the next CacheSynced.
type CacheChanged struct {
	First   uint64
	Changes []CacheChange
}

// CacheSynced carries the full list of the chats cached at the engine. Last is
// the sequence number of the last event that the list includes.
type CacheSynced struct {
	Last  uint64
	Chats []vanillalug.ChatKey
}

// EngineRestarted means that the engine has lost its cache.
type EngineRestarted struct{}

func (Lookup) cacheIndexEvent()          {}
func (Admitted) cacheIndexEvent()        {}
func (Spilled) cacheIndexEvent()         {}
func (CacheChanged) cacheIndexEvent()    {}
func (CacheSynced) cacheIndexEvent()     {}
func (EngineRestarted) cacheIndexEvent() {}

// CacheChange is the storing or the eviction of a chat's prompt prefix.
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

// Stored reports whether the prefix was stored rather than evicted.
func (c CacheChange) Stored() bool { return c.stored }
