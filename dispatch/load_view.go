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
	// loadTTL is how long a load is used without an update.
	loadTTL = 15 * time.Second
)

// LoadView is a router's cache of the latest load of every target. It is safe
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

// Put stores a load unless the view has one that is as new or newer, and reports
// whether it did.
func (v *LoadView) Put(l Load) bool {
	s := v.shard(l.target)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.loads[l.target]; ok && !l.observedAt.After(old.observedAt) {
		return false
	}
	s.loads[l.target] = l
	return true
}

// Get returns the load of a target; ok is false if there is none or it is older
// than loadTTL.
func (v *LoadView) Get(target string, now time.Time) (Load, bool) {
	s := v.shard(target)
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.loads[target]
	if !ok || now.Sub(l.observedAt) > loadTTL {
		return Load{}, false
	}
	return l, true
}

// Condition returns the condition of a target, or Up if it has no load.
func (v *LoadView) Condition(target string, now time.Time) Condition {
	l, ok := v.Get(target, now)
	if !ok {
		return Up
	}
	return l.condition
}

// Freshest returns up to n loads that are within loadTTL, newest first.
func (v *LoadView) Freshest(n int, now time.Time) []Load {
	var out []Load
	for i := range v.shards {
		out = v.shards[i].appendFresh(out, now)
	}
	slices.SortFunc(out, func(a, b Load) int {
		return cmp.Or(b.observedAt.Compare(a.observedAt), cmp.Compare(a.target, b.target))
	})
	return out[:min(n, len(out))]
}

func (s *loadShard) appendFresh(out []Load, now time.Time) []Load {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, l := range s.loads {
		if now.Sub(l.observedAt) <= loadTTL {
			out = append(out, l)
		}
	}
	return out
}

func (v *LoadView) shard(target string) *loadShard {
	return &v.shards[xxhash.Sum64String(target)%loadShards]
}

// Sample returns up to n loads for gossip: half of them the newest, the others
// picked at random, so that every load is propagated however many there are.
// The pick function returns a random number in [0, n).
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
