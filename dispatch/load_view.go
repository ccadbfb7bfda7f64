package dispatch

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	loadShards = 16
	// loadLifetime is how long a load is believed without news.
	loadLifetime = 15 * time.Second
)

// LoadView is what one router knows of the load of every target. It is safe
// for concurrent use.
type LoadView struct {
	shards [loadShards]loadShard
}

type loadShard struct {
	mu    sync.RWMutex
	loads map[string]Load
}

// NewLoadView returns an empty view.
func NewLoadView() *LoadView {
	v := &LoadView{}
	for i := range v.shards {
		v.shards[i].loads = map[string]Load{}
	}
	return v
}

// Put takes a load unless a newer one is known, and reports whether it did.
func (v *LoadView) Put(l Load) bool {
	s := v.shard(l.target)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.loads[l.target]; ok && !l.at.After(old.at) {
		return false
	}
	s.loads[l.target] = l
	return true
}

// Get returns the load of a target unless it is unknown or too old.
func (v *LoadView) Get(target string, now time.Time) (Load, bool) {
	s := v.shard(target)
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.loads[target]
	if !ok || now.Sub(l.at) > loadLifetime {
		return Load{}, false
	}
	return l, true
}

// Condition returns the condition of a target; an unknown one is up.
func (v *LoadView) Condition(target string, now time.Time) Condition {
	l, ok := v.Get(target, now)
	if !ok {
		return Up
	}
	return l.condition
}

// Freshest returns up to n loads, the newest first.
func (v *LoadView) Freshest(n int, now time.Time) []Load {
	var out []Load
	for i := range v.shards {
		out = v.shards[i].appendFresh(out, now)
	}
	slices.SortFunc(out, func(a, b Load) int {
		return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.target, b.target))
	})
	return out[:min(n, len(out))]
}

func (s *loadShard) appendFresh(out []Load, now time.Time) []Load {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, l := range s.loads {
		if now.Sub(l.at) <= loadLifetime {
			out = append(out, l)
		}
	}
	return out
}

func (v *LoadView) shard(target string) *loadShard {
	return &v.shards[xxhash.Sum64String(target)%loadShards]
}

// Sample returns up to n loads: half of them the newest, the others picked at
// random, so that every load spreads however many there are.
func (v *LoadView) Sample(n int, now time.Time, pick func(n int) int) []Load {
	all := v.Freshest(math.MaxInt, now)
	if len(all) <= n {
		return all
	}
	for i := n / 2; i < n; i++ {
		j := i + pick(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:n]
}
