package dispatch

import (
	"sync"

	"vanillalug.example"
)

// here is the record of a chat that is cached at the keeper's own engine.
const here = ""

// DefaultIndexedChats is the number of chats that a Keeper remembers.
const DefaultIndexedChats = 1 << 17

// CacheIndex knows, for one engine, the chats cached there and where the others
// were sent. All of it is a hint: a keeper that starts empty costs cached work
// only, and learns it again from the engine. It is safe for concurrent use.
type CacheIndex struct {
	mu       sync.Mutex
	chats    *generations
	last     uint64
	complete bool
}

// NewCacheIndex returns a Keeper that remembers about the given number of chats.
func NewCacheIndex(chats int) *CacheIndex {
	return &CacheIndex{chats: newGenerations(chats)}
}

// Handle takes an event and returns the answers to it.
func (k *CacheIndex) Handle(ev Event) []Effect {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch e := ev.(type) {
	case Lookup:
		return []Effect{k.asked(e)}
	case Admitted:
		k.chats.put(e.Chat, here)
	case Spilled:
		k.chats.put(e.Chat, e.Engine)
	case CacheChanged:
		return k.changed(e)
	case CacheSynced:
		k.synced(e)
	case EngineRestarted:
		k.chats.dropEngine(here)
		k.complete = false
		return []Effect{Resync{}}
	}
	return nil
}

// Len returns the number of chats remembered.
func (k *CacheIndex) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.chats.len()
}

// Complete reports whether every chat cached at the engine is known.
func (k *CacheIndex) Complete() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.complete
}

// Redirects returns the chats that were sent to other engines.
func (k *CacheIndex) Redirects() map[vanillalug.ChatKey]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.chats.elsewhere()
}

func (k *CacheIndex) asked(e Lookup) Effect {
	engine, known := k.chats.get(e.Chat)
	switch {
	case known && engine == here:
		return ServeLocal{Cached: true}
	case e.NoRedirect:
		return ServeLocal{}
	case known:
		return Redirect{Engine: engine}
	case !e.Returning || !k.complete:
		return ServeLocal{Cached: e.Returning}
	case e.Speculative && e.CanForward && e.Next != "":
		return Redirect{Engine: e.Next, Speculative: true}
	case e.Speculative:
		return Redirect{Engine: e.Home}
	case e.Next != "":
		k.chats.put(e.Chat, e.Next)
		return Redirect{Engine: e.Next, Speculative: true}
	}
	return ServeLocal{}
}

func (k *CacheIndex) changed(e CacheChanged) []Effect {
	if !k.complete || e.First > k.last+1 {
		k.complete = false
		return []Effect{Resync{}}
	}
	for i, c := range e.Changes {
		if e.First+uint64(i) <= k.last {
			continue
		}
		k.last = e.First + uint64(i)
		k.apply(c)
	}
	return nil
}

func (k *CacheIndex) apply(c CacheChange) {
	if c.stored {
		k.chats.put(c.chat, here)
		return
	}
	if engine, ok := k.chats.get(c.chat); ok && engine == here {
		k.chats.drop(c.chat)
	}
}

func (k *CacheIndex) synced(e CacheSynced) {
	for _, c := range e.Chats {
		if _, ok := k.chats.get(c); !ok {
			k.chats.put(c, here)
		}
	}
	k.last = e.Last
	k.complete = true
}
