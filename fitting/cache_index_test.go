package fitting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCacheIndex(t *testing.T) {
	index := NewCacheIndex()
	a, c := KeyOf("a"), KeyOf("c")
	index.Record(Placement{Prompt: 16, Target: a}, start)
	require.Equal(t, []bool{true, false}, index.Cached(16, []Key{a, c}, start))
	require.Equal(t, []bool{false, false}, index.Cached(32, []Key{a, c}, start))
	require.Equal(t, []bool{false, false}, index.Cached(16, []Key{a, c}, start.Add(cacheTTL+1)))
}

// TestAnnounceInterval checks that a placement is announced at once, and again
// only if no router announced it for a while.
func TestAnnounceInterval(t *testing.T) {
	index := NewCacheIndex()
	p := Placement{Prompt: 16, Target: 1}
	require.True(t, index.Record(p, start))
	require.False(t, index.Record(p, start.Add(announceInterval-1)))
	require.True(t, index.Record(Placement{Prompt: 16, Target: 2}, start), "another target")
	require.True(t, index.Record(p, start.Add(announceInterval)))
	index.RecordFromPeer(p, start.Add(announceInterval+time.Second))
	require.False(t, index.Record(p, start.Add(2*announceInterval)), "a peer announced it")
	require.True(t, index.Record(p, start.Add(2*announceInterval+time.Second)))
}

func TestCacheIndexIsBounded(t *testing.T) {
	index := NewCacheIndex()
	for i := range uint64(maxShardPrompts + 10) {
		index.Record(Placement{Prompt: i * indexShards, Target: 1}, start.Add(time.Duration(i)))
	}
	require.Len(t, index.shards[0].holders, maxShardPrompts)
	require.Equal(t, []bool{false}, index.Cached(0, []Key{1}, start), "the oldest is evicted first")
	require.Equal(t, []bool{true}, index.Cached((maxShardPrompts+9)*indexShards, []Key{1}, start))
}
