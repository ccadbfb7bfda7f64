package fitting

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

// plainTable adds up the reports of all peers on every call.
type plainTable struct {
	own   map[Key]Load
	peers map[string]peerReport
}

func (p *plainTable) loads(keys []Key, since time.Time) []Load {
	out := make([]Load, len(keys))
	for i, k := range keys {
		out[i] = p.own[k]
		for _, report := range p.peers {
			if !report.receivedAt.Before(since) {
				out[i] = out[i].Plus(report.loads[k])
			}
		}
	}
	return out
}

// TestLoadTableAgainstOracle checks that the sums of a LoadTable are those of
// the reports that have not expired.
func TestLoadTableAgainstOracle(t *testing.T) {
	const peers, targets, steps = 6, 5, 60
	lugtest.Check(t, "300", "1", func(t *rapid.T) {
		table := NewLoadTable()
		plain := &plainTable{own: map[Key]Load{}, peers: map[string]peerReport{}}
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
				table.Add(k, l.requests, l.prefillTokens)
				plain.own[k] = plain.own[k].Plus(l)
			case 1:
				name := strconv.Itoa(rapid.IntRange(1, peers).Draw(t, "peer"))
				loads := map[Key]Load{}
				for _, k := range rapid.SliceOfDistinct(rapid.SampledFrom(keys), rapid.ID).Draw(t, "targets") {
					loads[k] = NewLoad(rapid.IntRange(0, 5).Draw(t, "requests"), rapid.IntRange(0, 9).Draw(t, "unread"))
				}
				table.SetPeer(name, loads, now)
				plain.peers[name] = peerReport{receivedAt: now, loads: loads}
			case 2:
				if s := now.Add(-100 * time.Millisecond); s.After(since) {
					since = s
				}
				require.Equal(t, plain.loads(keys, since), table.Loads(keys, since))
			}
		}
	})
}

// BenchmarkLoads measures Loads at the size of a large fleet.
func BenchmarkLoads(bench *testing.B) {
	const peers, targets, used = 300, 3000, 20
	table := NewLoadTable()
	keys := make([]Key, targets)
	for i := range keys {
		keys[i] = Key(i)
	}
	for i := range peers {
		loads := map[Key]Load{}
		for j := range used {
			loads[Key((i*used+j)%targets)] = NewLoad(1, 100)
		}
		table.SetPeer(strconv.Itoa(i), loads, start)
	}
	for bench.Loop() {
		table.Loads(keys, start)
	}
}

func TestLoadTable(t *testing.T) {
	table := NewLoadTable()
	a, c := KeyOf("a"), KeyOf("c")
	table.Add(a, 1, 100)
	table.Add(a, 1, 50)
	table.Add(a, 0, -100)
	table.SetPeer("r2", map[Key]Load{a: NewLoad(3, 7), c: NewLoad(1, 0)}, start)
	require.Equal(t, []Load{NewLoad(5, 57), NewLoad(1, 0)}, table.Loads([]Key{a, c}, start))
	table.SetPeer("r2", map[Key]Load{c: NewLoad(2, 0)}, start)
	require.Equal(t, []Load{NewLoad(2, 50), NewLoad(2, 0)}, table.Loads([]Key{a, c}, start), "only the newest report of a peer counts")
	require.Equal(t, 1, table.Peers(start))
	later := start.Add(time.Millisecond)
	require.Equal(t, []Load{NewLoad(2, 50), {}}, table.Loads([]Key{a, c}, later), "the report of a silent peer expires")
	require.Zero(t, table.Peers(later))
	table.Add(a, -2, -50)
	require.Empty(t, table.Own())
}
