package fitting

import (
	"slices"
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
	// tellInterval is how long peers need not be told of a placement again.
	tellInterval = 3 * time.Second
)

// Memory remembers which targets have read a shared prompt lately, as this
// router and its peers placed them. It is safe for concurrent use.
type CacheIndex struct {
	shards [memoryShards]memoryShard
}

type memoryShard struct {
	mu      sync.Mutex
	holders map[uint64]map[Key]holding
}

// holding is when a target was given a prompt last, and when this router's
// peers heard of it.
type holding struct {
	used time.Time
	told time.Time
}

// Placement says that a request with a shared prompt was sent to a target.
type Placement struct {
	Prompt uint64
	Target Key
}

// NewMemory returns an empty Memory.
func NewCacheIndex() *CacheIndex {
	m := &CacheIndex{}
	for i := range m.shards {
		m.shards[i].holders = map[uint64]map[Key]holding{}
	}
	return m
}

// Note remembers a placement of this router. It reports whether peers should be
// told, as none of them did so lately.
func (m *CacheIndex) Record(p Placement, now time.Time) (tell bool) {
	s := &m.shards[p.Prompt%memoryShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := s.holdersOf(p.Prompt)
	h := holders[p.Target]
	tell = now.Sub(h.told) >= tellInterval
	h.used = now
	if tell {
		h.told = now
	}
	holders[p.Target] = h
	return tell
}

// Hear remembers a placement that a peer told to all.
func (m *CacheIndex) RecordFromPeer(p Placement, now time.Time) {
	s := &m.shards[p.Prompt%memoryShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdersOf(p.Prompt)[p.Target] = holding{used: now, told: now}
}

// Newest returns the placements that were used last, up to a number of them.
func (m *CacheIndex) Newest(limit int, now time.Time) []Placement {
	type used struct {
		Placement
		at time.Time
	}
	var all []used
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		for prompt, holders := range s.holders {
			for k, h := range holders {
				if now.Sub(h.used) <= holderTime {
					all = append(all, used{Placement{Prompt: prompt, Target: k}, h.used})
				}
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(all, func(a, b used) int { return b.at.Compare(a.at) })
	all = all[:min(limit, len(all))]
	out := make([]Placement, len(all))
	for i, u := range all {
		out[i] = u.Placement
	}
	return out
}

// holdersOf returns the targets that hold a prompt. The caller holds mu.
func (s *memoryShard) holdersOf(prompt uint64) map[Key]holding {
	holders, ok := s.holders[prompt]
	if ok {
		return holders
	}
	if len(s.holders) >= shardPrompts {
		s.forgetOldest()
	}
	holders = map[Key]holding{}
	s.holders[prompt] = holders
	return holders
}

// Held reports for each target whether it has read the prompt lately.
func (m *CacheIndex) Cached(prompt uint64, targets []Key, now time.Time) []bool {
	out := make([]bool, len(targets))
	s := &m.shards[prompt%memoryShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := s.holders[prompt]
	for k, h := range holders {
		if now.Sub(h.used) > holderTime {
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
		for _, h := range holders {
			if h.used.After(last) {
				last = h.used
			}
		}
		if at.IsZero() || last.Before(at) {
			oldest, at = prompt, last
		}
	}
	delete(s.holders, oldest)
}
