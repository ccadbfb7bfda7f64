package rota

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

func peersOf(names []string, self string, following func(string) bool) []Peer {
	var out []Peer
	for _, n := range names {
		if n != self {
			out = append(out, Peer{Name: n, Following: following(n)})
		}
	}
	return out
}

func names(n int) []string {
	var out []string
	for i := range n {
		out = append(out, "edge-"+strconv.Itoa(i))
	}
	return out
}

// TestDutyGrowsSlowly: in a fleet that hears itself the number of routers that
// follow the store grows with the logarithm of its size.
func TestDutyGrowsSlowly(t *testing.T) {
	for n, want := range map[int]int{1: 1, 3: 3, 18: 7, 113: 9, 410: 11, 1000: 12} {
		all := names(n)
		count := 0
		on := func(name string) bool { return true }
		for _, self := range all {
			if FollowsStore(self, peersOf(all, self, on)) {
				count++
			}
		}
		require.Equal(t, want, count, n)
	}
}

// TestSomebodyFollows: whichever routers hear each other, each one either
// follows the store or hears several that do.
func TestSomebodyFollows(t *testing.T) {
	lugtest.Check(t, "300", "1", func(t *rapid.T) {
		all := names(rapid.IntRange(1, 40).Draw(t, "routers"))
		fresh := map[string]bool{}
		for _, n := range all {
			fresh[n] = rapid.Bool().Draw(t, "fresh")
		}
		for _, self := range all {
			var heard []Peer
			following := 0
			for _, p := range peersOf(all, self, func(n string) bool { return fresh[n] }) {
				if rapid.Bool().Draw(t, "heard") {
					heard = append(heard, p)
					if p.Following {
						following++
					}
				}
			}
			require.True(t, FollowsStore(self, heard) || following >= minFollowers)
		}
	})
}
