package dispatch

import (
	"sync"

	"vanillalug.example"
)

// local is the entry of a chat that is cached at the index's own engine.
const local = ""

// DefaultIndexedChats is the default capacity of a CacheIndex, in chats.
const DefaultIndexedChats = 1 << 17

// CacheIndex records, for one engine, which chats are cached there and to which
// engines other chats were sent. All entries are hints: an index that starts
// empty only costs cache hits, and is rebuilt from the engine's cache events.
// It is safe for concurrent use.
type CacheIndex struct {
	mu       sync.Mutex
	chats    *generationalMap
	last     uint64
	complete bool
}

// NewCacheIndex returns an empty CacheIndex with room for about the given number
// of chats.
func NewCacheIndex(chats int) *CacheIndex {
	return &CacheIndex{chats: newGenerationalMap(chats)}
}

// Handle applies an event and returns the resulting effects.
func (x *CacheIndex) Handle(ev Event) []Effect {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch e := ev.(type) {
	case Lookup:
		return []Effect{x.lookup(e)}
	case Admitted:
		x.chats.put(e.Chat, local)
	case Spilled:
		x.chats.put(e.Chat, e.Engine)
	case CacheChanged:
		return x.changed(e)
	case CacheSynced:
		x.synced(e)
	case EngineRestarted:
		x.chats.dropEngine(local)
		x.complete = false
		return []Effect{Resync{}}
	}
	return nil
}

// Len returns the number of chats in the index.
func (x *CacheIndex) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.chats.len()
}

// Complete reports whether the index has seen a full list of the engine's cached
// chats and every cache event since.
func (x *CacheIndex) Complete() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.complete
}

// Redirects returns the chats that were sent to other engines, with the engine
// of each.
func (x *CacheIndex) Redirects() map[vanillalug.ChatKey]string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.chats.redirects()
}

func (x *CacheIndex) lookup(e Lookup) Effect {
	engine, known := x.chats.get(e.Chat)
	switch {
	case known && engine == local:
		return ServeLocal{Cached: true}
	case e.NoRedirect:
		return ServeLocal{}
	case known:
		return Redirect{Engine: engine}
	case !e.Returning || !x.complete:
		return ServeLocal{Cached: e.Returning}
	case e.Speculative && e.CanForward && e.Next != "":
		return Redirect{Engine: e.Next, Speculative: true}
	case e.Speculative:
		return Redirect{Engine: e.Home}
	case e.Next != "":
		x.chats.put(e.Chat, e.Next)
		return Redirect{Engine: e.Next, Speculative: true}
	}
	return ServeLocal{}
}

func (x *CacheIndex) changed(e CacheChanged) []Effect {
	if !x.complete || e.First > x.last+1 {
		x.complete = false
		return []Effect{Resync{}}
	}
	for i, c := range e.Changes {
		if e.First+uint64(i) <= x.last {
			continue
		}
		x.last = e.First + uint64(i)
		x.apply(c)
	}
	return nil
}

func (x *CacheIndex) apply(c CacheChange) {
	if c.stored {
		x.chats.put(c.chat, local)
		return
	}
	if engine, ok := x.chats.get(c.chat); ok && engine == local {
		x.chats.drop(c.chat)
	}
}

func (x *CacheIndex) synced(e CacheSynced) {
	for _, c := range e.Chats {
		if _, ok := x.chats.get(c); !ok {
			x.chats.put(c, local)
		}
	}
	x.last = e.Last
	x.complete = true
}
