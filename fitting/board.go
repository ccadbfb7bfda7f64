package fitting

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names a lifetime of a target among routers.
type Key uint64

// KeyOf returns the key of a lifetime.
func KeyOf(lifetime string) Key { return Key(xxhash.Sum64String(lifetime)) }

// Board has the loads of all targets: this router's own, exactly, and those of
// its peers as they told them last. It is safe for concurrent use.
type Board struct {
	mu    sync.Mutex
	own   map[Key]Load
	peers map[string]told
}

type told struct {
	at    time.Time
	loads map[Key]Load
}

// NewBoard returns a Board without any load.
func NewBoard() *Board { return &Board{own: map[Key]Load{}, peers: map[string]told{}} }

// Add counts own work at a target; negative numbers take it away.
func (b *Board) Add(k Key, requests, unread int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.own[k].Plus(NewLoad(requests, unread))
	if l == (Load{}) {
		delete(b.own, k)
		return
	}
	b.own[k] = l
}

// Hear replaces what a peer told of its own work.
func (b *Board) Hear(peer string, loads map[Key]Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[peer] = told{at: now, loads: loads}
}

// Own returns this router's own work.
func (b *Board) Own() map[Key]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[Key]Load, len(b.own))
	for k, l := range b.own {
		out[k] = l
	}
	return out
}

// Loads returns the loads of the targets, as far as they are known. What a peer
// told before the time since is forgotten.
func (b *Board) Loads(keys []Key, since time.Time) []Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Load, len(keys))
	for i, k := range keys {
		out[i] = b.own[k]
	}
	for peer, t := range b.peers {
		if t.at.Before(since) {
			delete(b.peers, peer)
			continue
		}
		for i, k := range keys {
			out[i] = out[i].Plus(t.loads[k])
		}
	}
	return out
}

// Peers returns how many peers were heard since the time.
func (b *Board) Peers(since time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, t := range b.peers {
		if !t.at.Before(since) {
			n++
		}
	}
	return n
}
