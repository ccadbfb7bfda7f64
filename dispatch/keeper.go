package dispatch

import (
	"sync"

	"vanillalug.example"
)

// here is the record of a chat that is cached at the keeper's own engine.
const here = ""

// DefaultKeeperChats is the number of chats that a Keeper remembers.
const DefaultKeeperChats = 1 << 17

// Keeper knows, for one engine, the chats cached there and where the others
// were sent. All of it is a hint: a keeper that starts empty costs cached work
// only, and learns it again from the engine. It is safe for concurrent use.
type Keeper struct {
	mu       sync.Mutex
	chats    *generations
	last     uint64
	complete bool
}

// NewKeeper returns a Keeper that remembers about the given number of chats.
func NewKeeper(chats int) *Keeper {
	return &Keeper{chats: newGenerations(chats)}
}

// Handle takes an event and returns the answers to it.
func (k *Keeper) Handle(ev Event) []Effect {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch e := ev.(type) {
	case Asked:
		return []Effect{k.asked(e)}
	case Settled:
		k.chats.put(e.Chat, here)
	case Sent:
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
func (k *Keeper) Len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.chats.len()
}

// Complete reports whether every chat cached at the engine is known.
func (k *Keeper) Complete() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.complete
}

// Elsewhere returns the chats that were sent to other engines.
func (k *Keeper) Elsewhere() map[vanillalug.ChatKey]string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.chats.elsewhere()
}

func (k *Keeper) asked(e Asked) Effect {
	engine, known := k.chats.get(e.Chat)
	switch {
	case known && engine == here:
		return Here{Cached: true}
	case e.Final:
		return Here{}
	case known:
		return At{Engine: engine}
	case !e.Returning || !k.complete:
		return Here{Cached: e.Returning}
	case e.Inherited && e.Deeper && e.Next != "":
		return At{Engine: e.Next, Inherit: true}
	case e.Inherited:
		return At{Engine: e.Home}
	case e.Next != "":
		k.chats.put(e.Chat, e.Next)
		return At{Engine: e.Next, Inherit: true}
	}
	return Here{}
}

func (k *Keeper) changed(e CacheChanged) []Effect {
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

func (k *Keeper) apply(c CacheChange) {
	if c.stored {
		k.chats.put(c.chat, here)
		return
	}
	if engine, ok := k.chats.get(c.chat); ok && engine == here {
		k.chats.drop(c.chat)
	}
}

func (k *Keeper) synced(e CacheSynced) {
	for _, c := range e.Chats {
		if _, ok := k.chats.get(c); !ok {
			k.chats.put(c, here)
		}
	}
	k.last = e.Last
	k.complete = true
}
