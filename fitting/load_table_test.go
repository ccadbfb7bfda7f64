package fitting

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

// plainBoard adds up what peers told anew for each question.
type plainBoard struct {
	own   map[Key]Load
	peers map[string]told
}

func (b *plainBoard) loads(keys []Key, since time.Time) []Load {
	out := make([]Load, len(keys))
	for i, k := range keys {
		out[i] = b.own[k]
		for _, t := range b.peers {
			if !t.at.Before(since) {
				out[i] = out[i].Plus(t.loads[k])
			}
		}
	}
	return out
}

// TestBoardAgainstOracle: the sums that a board keeps are those of what is told
// and still believed.
func TestBoardAgainstOracle(t *testing.T) {
	const peers, targets, steps = 6, 5, 60
	lugtest.Check(t, "300", "1", func(t *rapid.T) {
		b := NewLoadTable()
		plain := &plainBoard{own: map[Key]Load{}, peers: map[string]told{}}
		keys := make([]Key, targets)
		for i := range keys {
			keys[i] = Key(i + 1)
		}
		now, since := start, start
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				k := rapid.SampledFrom(keys).Draw(t, "own")
				l := NewLoad(rapid.IntRange(-2, 3).Draw(t, "requests"), rapid.IntRange(-9, 9).Draw(t, "unread"))
				b.Add(k, l.requests, l.unread)
				plain.own[k] = plain.own[k].Plus(l)
			case 1:
				name := strconv.Itoa(rapid.IntRange(1, peers).Draw(t, "peer"))
				loads := map[Key]Load{}
				for _, k := range rapid.SliceOfDistinct(rapid.SampledFrom(keys), rapid.ID).Draw(t, "targets") {
					loads[k] = NewLoad(rapid.IntRange(0, 5).Draw(t, "requests"), rapid.IntRange(0, 9).Draw(t, "unread"))
				}
				b.SetPeer(name, loads, now)
				plain.peers[name] = told{at: now, loads: loads}
			case 2:
				if s := now.Add(-100 * time.Millisecond); s.After(since) {
					since = s
				}
				require.Equal(t, plain.loads(keys, since), b.Loads(keys, since))
			}
		}
	})
}

// BenchmarkLoads asks for the loads at a large fleet's size.
func BenchmarkLoads(bench *testing.B) {
	const peers, targets, used = 300, 3000, 20
	b := NewLoadTable()
	keys := make([]Key, targets)
	for i := range keys {
		keys[i] = Key(i)
	}
	for i := range peers {
		loads := map[Key]Load{}
		for j := range used {
			loads[Key((i*used+j)%targets)] = NewLoad(1, 100)
		}
		b.SetPeer(strconv.Itoa(i), loads, start)
	}
	for bench.Loop() {
		b.Loads(keys, start)
	}
}

func TestBoard(t *testing.T) {
	b := NewLoadTable()
	a, c := KeyOf("a"), KeyOf("c")
	b.Add(a, 1, 100)
	b.Add(a, 1, 50)
	b.Add(a, 0, -100)
	b.SetPeer("r2", map[Key]Load{a: NewLoad(3, 7), c: NewLoad(1, 0)}, start)
	require.Equal(t, []Load{NewLoad(5, 57), NewLoad(1, 0)}, b.Loads([]Key{a, c}, start))
	b.SetPeer("r2", map[Key]Load{c: NewLoad(2, 0)}, start)
	require.Equal(t, []Load{NewLoad(2, 50), NewLoad(2, 0)}, b.Loads([]Key{a, c}, start), "the newest word of a peer counts alone")
	require.Equal(t, 1, b.Peers(start))
	later := start.Add(time.Millisecond)
	require.Equal(t, []Load{NewLoad(2, 50), {}}, b.Loads([]Key{a, c}, later), "a peer that fell silent has no work")
	require.Zero(t, b.Peers(later))
	b.Add(a, -2, -50)
	require.Empty(t, b.Own())
}
