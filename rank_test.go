package vanillalug

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

func TestRankKeepsOrderAfterRemoval(t *testing.T) {
	lugtest.Check(t, "100", "10", func(t *rapid.T) {
		key := rapid.Uint64().Draw(t, "key")
		var names []string
		for i := range rapid.IntRange(2, 12).Draw(t, "n") {
			names = append(names, fmt.Sprintf("e%d", i))
		}
		full := Rank(key, names)
		require.Equal(t, full[0], Best(key, names))
		var without []string
		for _, n := range full {
			if n != names[0] {
				without = append(without, n)
			}
		}
		require.Equal(t, without, Rank(key, names[1:]))
	})
}

// TestWeightedRank checks that at the second rules level an engine with three
// times the slots ranks first for three times as many chats.
func TestWeightedRank(t *testing.T) {
	engines := []Engine{{name: "small", slots: 4}, {name: "large", slots: 12}}
	first := map[int]int{}
	for level := PlainRank; level <= WeightedRank; level++ {
		for i := range uint64(20000) {
			if RankEngines(level, i*0x9e3779b97f4a7c15, engines)[0] == "large" {
				first[level]++
			}
		}
	}
	require.InDelta(t, 10000, first[PlainRank], 400)
	require.InDelta(t, 15000, first[WeightedRank], 400)
}
