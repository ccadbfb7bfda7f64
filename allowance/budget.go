package allowance

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// shardCount is the number of locks that the workspaces are distributed over.
	shardCount = 16
	// maxBalance is the largest number of retries that a workspace can accumulate.
	maxBalance = 20
	// initialBalance is the number of retries of a workspace at its first
	// request.
	initialBalance = 5
)

// Budget holds the retry budget of every workspace: a balance of retries, as in
// a token bucket that requests fill. It is safe for concurrent use.
type Budget struct {
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	balances map[string]float64
}

// NewBudget returns a Budget without any workspaces.
func NewBudget() *Budget {
	b := &Budget{}
	for i := range b.shards {
		b.shards[i].balances = map[string]float64{}
	}
	return b
}

// Deposit records a first attempt of the workspace. The share is the allowed
// ratio of retries to requests, such as 0.1.
func (b *Budget) Deposit(workspace string, share float64) {
	s := b.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	balance, ok := s.balances[workspace]
	if !ok {
		balance = initialBalance
	}
	s.balances[workspace] = min(balance+share, maxBalance)
}

// Withdraw reports whether the workspace may send a retry, and if so takes it
// from the balance.
func (b *Budget) Withdraw(workspace string) bool {
	s := b.shard(workspace)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.balances[workspace] < 1 {
		return false
	}
	s.balances[workspace]--
	return true
}

func (b *Budget) shard(workspace string) *shard {
	return &b.shards[xxhash.Sum64String(workspace)%shardCount]
}
