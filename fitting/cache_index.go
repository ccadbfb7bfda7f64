package fitting

import (
	"slices"
	"sync"
	"time"
)

const (
	// indexShards is the number of shards, each with its own lock.
	indexShards = 16
	// maxShardPrompts is the largest number of shared prompts in a shard.
	maxShardPrompts = 4096
	// cacheTTL is how long after its last use a prompt is assumed to be cached.
	cacheTTL = 2 * time.Minute
	// announceInterval is the shortest time between two announcements of the
	// same placement to peers.
	announceInterval = 3 * time.Second
)

// CacheIndex records which targets have a shared prompt in their cache, as
// inferred from the placements of this router and its peers. It is safe for
// concurrent use.
type CacheIndex struct {
	shards [indexShards]indexShard
}

type indexShard struct {
	mu sync.Mutex
	// holders maps a prompt to the targets that have it cached.
	holders map[uint64]map[Key]cacheEntry
}

// cacheEntry holds when a prompt was last sent to a target, and when that was
// last announced, by this router or a peer.
type cacheEntry struct {
	lastUsed  time.Time
	announced time.Time
}

// Placement records that a request with a shared prompt was sent to a target.
type Placement struct {
	Prompt uint64
	Target Key
}

// NewCacheIndex returns an empty CacheIndex.
func NewCacheIndex() *CacheIndex {
	c := &CacheIndex{}
	for i := range c.shards {
		c.shards[i].holders = map[uint64]map[Key]cacheEntry{}
	}
	return c
}

// Record adds a placement of this router. It reports whether to announce it to
// the peers, as no router did so recently.
func (c *CacheIndex) Record(p Placement, now time.Time) (announce bool) {
	s := &c.shards[p.Prompt%indexShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := s.holdersOf(p.Prompt)
	h := holders[p.Target]
	announce = now.Sub(h.announced) >= announceInterval
	h.lastUsed = now
	if announce {
		h.announced = now
	}
	holders[p.Target] = h
	return announce
}

// RecordFromPeer adds a placement that a peer announced to all routers.
func (c *CacheIndex) RecordFromPeer(p Placement, now time.Time) {
	s := &c.shards[p.Prompt%indexShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdersOf(p.Prompt)[p.Target] = cacheEntry{lastUsed: now, announced: now}
}

// Newest returns the most recently used placements, at most limit of them.
func (c *CacheIndex) Newest(limit int, now time.Time) []Placement {
	type used struct {
		Placement
		at time.Time
	}
	var all []used
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for prompt, holders := range s.holders {
			for k, h := range holders {
				if now.Sub(h.lastUsed) <= cacheTTL {
					all = append(all, used{Placement{Prompt: prompt, Target: k}, h.lastUsed})
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

// holdersOf returns the targets that have a prompt cached, adding the prompt if
// it is new. The caller holds mu.
func (s *indexShard) holdersOf(prompt uint64) map[Key]cacheEntry {
	holders, ok := s.holders[prompt]
	if ok {
		return holders
	}
	if len(s.holders) >= maxShardPrompts {
		s.evictOldest()
	}
	holders = map[Key]cacheEntry{}
	s.holders[prompt] = holders
	return holders
}

// Cached reports for each target whether it probably has the prompt in its
// cache.
func (c *CacheIndex) Cached(prompt uint64, targets []Key, now time.Time) []bool {
	out := make([]bool, len(targets))
	s := &c.shards[prompt%indexShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := s.holders[prompt]
	for k, h := range holders {
		if now.Sub(h.lastUsed) > cacheTTL {
			delete(holders, k)
		}
	}
	for i, t := range targets {
		_, out[i] = holders[t]
	}
	return out
}

// evictOldest removes the least recently used prompt.
func (s *indexShard) evictOldest() {
	var oldest uint64
	var at time.Time
	for prompt, holders := range s.holders {
		var last time.Time
		for _, h := range holders {
			if h.lastUsed.After(last) {
				last = h.lastUsed
			}
		}
		if at.IsZero() || last.Before(at) {
			oldest, at = prompt, last
		}
	}
	delete(s.holders, oldest)
}
