package placement

import (
	"container/list"
	"time"
)

// engine is a model of one engine: slots, a queue and a cache of prefixes.
type engine struct {
	name     string
	up       bool
	running  int
	assigned int
	queue    []*request
	limit    int
	used     int
	order    *list.List
	chats    map[uint64]*list.Element
	started  time.Duration
	history  []int
}

type cached struct {
	chat   uint64
	tokens int
}

func newEngine(name string, limit int) *engine {
	return &engine{name: name, up: true, limit: limit, order: list.New(), chats: map[uint64]*list.Element{}}
}

// peek returns the cached tokens of a chat.
func (e *engine) peek(chat uint64) int {
	if el, ok := e.chats[chat]; ok {
		return el.Value.(*cached).tokens
	}
	return 0
}

// use returns the cached tokens of a chat and caches all of its tokens.
func (e *engine) use(chat uint64, tokens int) int {
	have := 0
	if el, ok := e.chats[chat]; ok {
		c := e.order.Remove(el).(*cached)
		have = min(c.tokens, tokens)
		e.used -= c.tokens
	}
	e.chats[chat] = e.order.PushFront(&cached{chat: chat, tokens: tokens})
	e.used += tokens
	for e.used > e.limit && e.order.Len() > 1 {
		c := e.order.Remove(e.order.Back()).(*cached)
		e.used -= c.tokens
		delete(e.chats, c.chat)
	}
	return have
}

// clear loses the cache, as a restart does.
func (e *engine) clear(now time.Duration) {
	e.order.Init()
	e.used = 0
	clear(e.chats)
	e.started = now
}
