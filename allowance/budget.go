package allowance

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// shardCount is the number of locks that the workspaces are spread over.
	shardCount = 16
	// maxSaved is the largest number of retries a workspace can save up.
	maxSaved = 20
	// firstSaved is what a workspace has at its first request.
	firstSaved = 5
)

// Budget holds the retry budget of every workspace. It is safe for
// concurrent use.
type Budget struct {
	shards [shardCount]shard
}

type shard struct {
	mu    sync.Mutex
	saved map[string]float64
}

// NewBudget returns a Budget in which nothing is saved yet.
func NewBudget() *Budget {
	b := &Budget{}
	for i := range b.shards {
		b.shards[i].saved = map[string]float64{}
	}
	return b
}

// Deposit counts a first attempt of the workspace. The share is the part of its
// requests that may be retries, such as 0.1.
func (b *Budget) Deposit(workspace string, share float64) {
	s := b.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	saved, ok := s.saved[workspace]
	if !ok {
		saved = firstSaved
	}
	s.saved[workspace] = min(saved+share, maxSaved)
}

// Withdraw reports whether the workspace may send a retry, and counts it.
func (b *Budget) Withdraw(workspace string) bool {
	s := b.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saved[workspace] < 1 {
		return false
	}
	s.saved[workspace]--
	return true
}

func (b *Budget) shard(workspace string) *shard {
	return &b.shards[xxhash.Sum64String(workspace)%shardCount]
}
