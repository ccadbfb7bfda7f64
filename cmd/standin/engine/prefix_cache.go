package engine

import (
	"container/list"
	"sync"
)

// maxEvents is the number of cache events kept for readers that lag behind.
const maxEvents = 4096

// prefixCache is an LRU cache of the prompt tokens of chats. It numbers its
// events.
type prefixCache struct {
	mu     sync.Mutex
	limit  int
	used   int
	order  *list.List
	chats  map[string]*list.Element
	last   uint64
	events []cacheEvent
}

type cachedChat struct {
	chat   string
	tokens int
}

// cacheEvent says that a chat was stored or evicted.
type cacheEvent struct {
	Chat   string `json:"chat"`
	Stored bool   `json:"stored"`
}

// eventsBody is the response to a request for events. First is the number of
// the first event.
type eventsBody struct {
	First  uint64       `json:"first"`
	Events []cacheEvent `json:"events"`
}

// chatsBody is the response to a request for all cached chats. Last is the
// number of the last event that it includes.
type chatsBody struct {
	Last  uint64   `json:"last"`
	Chats []string `json:"chats"`
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), chats: map[string]*list.Element{}}
}

// use returns how many of the prompt's tokens are cached and caches the whole
// prompt.
func (c *prefixCache) use(chat string, tokens int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	if el, ok := c.chats[chat]; ok {
		cached = min(el.Value.(*cachedChat).tokens, tokens)
		c.used -= el.Value.(*cachedChat).tokens
		c.order.Remove(el)
	} else {
		c.publish(chat, true)
	}
	c.chats[chat] = c.order.PushFront(&cachedChat{chat: chat, tokens: tokens})
	c.used += tokens
	c.evict()
	return cached
}

func (c *prefixCache) evict() {
	for c.used > c.limit && c.order.Len() > 1 {
		oldest := c.order.Remove(c.order.Back()).(*cachedChat)
		delete(c.chats, oldest.chat)
		c.used -= oldest.tokens
		c.publish(oldest.chat, false)
	}
}

func (c *prefixCache) publish(chat string, stored bool) {
	c.last++
	c.events = append(c.events, cacheEvent{Chat: chat, Stored: stored})
	if len(c.events) > maxEvents {
		c.events = append([]cacheEvent(nil), c.events[maxEvents/2:]...)
	}
}

// after returns the events with a number above n that are still kept.
func (c *prefixCache) after(n uint64) eventsBody {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.last - uint64(len(c.events)) + 1
	from := max(n+1, first)
	b := eventsBody{First: from, Events: []cacheEvent{}}
	if from <= c.last {
		b.Events = append(b.Events, c.events[from-first:]...)
	}
	return b
}

// all returns the chats that are cached.
func (c *prefixCache) all() chatsBody {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := chatsBody{Last: c.last, Chats: make([]string, 0, len(c.chats))}
	for chat := range c.chats {
		b.Chats = append(b.Chats, chat)
	}
	return b
}
