package placement

import (
	"container/list"
	"time"
)

// engine simulates one engine with slots, a queue and an LRU cache of prefixes.
type engine struct {
	name         string
	up           bool
	running      int
	assigned     int // running and queued
	queue        []*request
	cacheLimit   int
	cachedTokens int
	lru          *list.List
	entries      map[uint64]*list.Element
	started      time.Duration
	loadHistory  []int
}

type cacheEntry struct {
	chat   uint64
	tokens int
}

func newEngine(name string, limit int) *engine {
	return &engine{name: name, up: true, cacheLimit: limit, lru: list.New(), entries: map[uint64]*list.Element{}}
}

// peek returns the cached tokens of a chat.
func (e *engine) peek(chat uint64) int {
	if el, ok := e.entries[chat]; ok {
		return el.Value.(*cacheEntry).tokens
	}
	return 0
}

// use returns the cached tokens of a chat, caches all of its tokens and evicts
// the least recently used chats over the limit.
func (e *engine) use(chat uint64, tokens int) int {
	have := 0
	if el, ok := e.entries[chat]; ok {
		c := e.lru.Remove(el).(*cacheEntry)
		have = min(c.tokens, tokens)
		e.cachedTokens -= c.tokens
	}
	e.entries[chat] = e.lru.PushFront(&cacheEntry{chat: chat, tokens: tokens})
	e.cachedTokens += tokens
	for e.cachedTokens > e.cacheLimit && e.lru.Len() > 1 {
		c := e.lru.Remove(e.lru.Back()).(*cacheEntry)
		e.cachedTokens -= c.tokens
		delete(e.entries, c.chat)
	}
	return have
}

// clearCache empties the cache, as a restart does.
func (e *engine) clearCache(now time.Duration) {
	e.lru.Init()
	e.cachedTokens = 0
	clear(e.entries)
	e.started = now
}
