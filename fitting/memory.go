package fitting

import (
	"sync"
	"time"
)

const (
	// memoryShards is the number of locks that the prompts are spread over.
	memoryShards = 16
	// shardPrompts is how many shared prompts a shard remembers at most.
	shardPrompts = 4096
	// holderTime is how long after its last use a prompt is taken to be cached.
	holderTime = 2 * time.Minute
)

// Memory remembers which targets have read a shared prompt lately, as this
// router and its peers placed them. It is safe for concurrent use.
type Memory struct {
	shards [memoryShards]memoryShard
}

type memoryShard struct {
	mu      sync.Mutex
	holders map[uint64]map[Key]time.Time
}

// Placement says that a request with a shared prompt was sent to a target.
type Placement struct {
	Prompt uint64
	Target Key
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	m := &Memory{}
	for i := range m.shards {
		m.shards[i].holders = map[uint64]map[Key]time.Time{}
	}
	return m
}

// Note remembers a placement.
func (m *Memory) Note(p Placement, now time.Time) {
	s := &m.shards[p.Prompt%memoryShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	holders, ok := s.holders[p.Prompt]
	if !ok {
		if len(s.holders) >= shardPrompts {
			s.forgetOldest()
		}
		holders = map[Key]time.Time{}
		s.holders[p.Prompt] = holders
	}
	holders[p.Target] = now
}

// Held reports for each target whether it has read the prompt lately.
func (m *Memory) Held(prompt uint64, targets []Key, now time.Time) []bool {
	out := make([]bool, len(targets))
	s := &m.shards[prompt%memoryShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := s.holders[prompt]
	for k, at := range holders {
		if now.Sub(at) > holderTime {
			delete(holders, k)
		}
	}
	for i, t := range targets {
		_, out[i] = holders[t]
	}
	return out
}

// forgetOldest removes the prompt that was not used for the longest time.
func (s *memoryShard) forgetOldest() {
	var oldest uint64
	var at time.Time
	for prompt, holders := range s.holders {
		var last time.Time
		for _, t := range holders {
			if t.After(last) {
				last = t
			}
		}
		if at.IsZero() || last.Before(at) {
			oldest, at = prompt, last
		}
	}
	delete(s.holders, oldest)
}
