package fitting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMemory(t *testing.T) {
	m := NewCacheIndex()
	a, c := KeyOf("a"), KeyOf("c")
	m.Record(Placement{Prompt: 16, Target: a}, start)
	require.Equal(t, []bool{true, false}, m.Cached(16, []Key{a, c}, start))
	require.Equal(t, []bool{false, false}, m.Cached(32, []Key{a, c}, start))
	require.Equal(t, []bool{false, false}, m.Cached(16, []Key{a, c}, start.Add(holderTime+1)))
}

// TestTellNow: peers are told of a placement at once, and of the same one again
// only when nobody did so for a while.
func TestTellNow(t *testing.T) {
	m := NewCacheIndex()
	p := Placement{Prompt: 16, Target: 1}
	require.True(t, m.Record(p, start))
	require.False(t, m.Record(p, start.Add(tellInterval-1)))
	require.True(t, m.Record(Placement{Prompt: 16, Target: 2}, start), "another target")
	require.True(t, m.Record(p, start.Add(tellInterval)))
	m.RecordFromPeer(p, start.Add(tellInterval+time.Second))
	require.False(t, m.Record(p, start.Add(2*tellInterval)), "a peer told it")
	require.True(t, m.Record(p, start.Add(2*tellInterval+time.Second)))
}

func TestMemoryIsBounded(t *testing.T) {
	m := NewCacheIndex()
	for i := range uint64(shardPrompts + 10) {
		m.Record(Placement{Prompt: i * memoryShards, Target: 1}, start.Add(time.Duration(i)))
	}
	require.Len(t, m.shards[0].holders, shardPrompts)
	require.Equal(t, []bool{false}, m.Cached(0, []Key{1}, start), "the oldest went first")
	require.Equal(t, []bool{true}, m.Cached((shardPrompts+9)*memoryShards, []Key{1}, start))
}
