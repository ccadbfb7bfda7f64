package fitting

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMemory(t *testing.T) {
	m := NewMemory()
	a, c := KeyOf("a"), KeyOf("c")
	m.Note(Placement{Prompt: 16, Target: a}, start)
	require.Equal(t, []bool{true, false}, m.Held(16, []Key{a, c}, start))
	require.Equal(t, []bool{false, false}, m.Held(32, []Key{a, c}, start))
	require.Equal(t, []bool{false, false}, m.Held(16, []Key{a, c}, start.Add(holderTime+1)))
}

// TestTellNow: peers are told of a placement at once, and of the same one again
// only when nobody did so for a while.
func TestTellNow(t *testing.T) {
	m := NewMemory()
	p := Placement{Prompt: 16, Target: 1}
	require.True(t, m.Note(p, start))
	require.False(t, m.Note(p, start.Add(tellInterval-1)))
	require.True(t, m.Note(Placement{Prompt: 16, Target: 2}, start), "another target")
	require.True(t, m.Note(p, start.Add(tellInterval)))
	m.Hear(p, start.Add(tellInterval+time.Second))
	require.False(t, m.Note(p, start.Add(2*tellInterval)), "a peer told it")
	require.True(t, m.Note(p, start.Add(2*tellInterval+time.Second)))
}

func TestMemoryIsBounded(t *testing.T) {
	m := NewMemory()
	for i := range uint64(shardPrompts + 10) {
		m.Note(Placement{Prompt: i * memoryShards, Target: 1}, start.Add(time.Duration(i)))
	}
	require.Len(t, m.shards[0].holders, shardPrompts)
	require.Equal(t, []bool{false}, m.Held(0, []Key{1}, start), "the oldest went first")
	require.Equal(t, []bool{true}, m.Held((shardPrompts+9)*memoryShards, []Key{1}, start))
}
