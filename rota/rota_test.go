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

// TestFollowersGrowLogarithmically checks that in a fleet whose routers all
// receive each other's messages the number of followers grows with the logarithm
// of its size.
func TestFollowersGrowLogarithmically(t *testing.T) {
	for n, want := range map[int]int{1: 1, 3: 3, 18: 7, 113: 9, 410: 11, 1000: 12} {
		all := names(n)
		count := 0
		always := func(name string) bool { return true }
		for _, self := range all {
			if FollowsStore(self, peersOf(all, self, always)) {
				count++
			}
		}
		require.Equal(t, want, count, n)
	}
}

// TestEveryRouterHasFollowers checks that, whichever routers receive each
// other's messages, each one either follows the store or has at least
// minFollowers peers that do.
func TestEveryRouterHasFollowers(t *testing.T) {
	lugtest.Check(t, "300", "1", func(t *rapid.T) {
		all := names(rapid.IntRange(1, 40).Draw(t, "routers"))
		follows := map[string]bool{}
		for _, n := range all {
			follows[n] = rapid.Bool().Draw(t, "follows")
		}
		for _, self := range all {
			var received []Peer
			following := 0
			for _, p := range peersOf(all, self, func(n string) bool { return follows[n] }) {
				if rapid.Bool().Draw(t, "received") {
					received = append(received, p)
					if p.Following {
						following++
					}
				}
			}
			require.True(t, FollowsStore(self, received) || following >= minFollowers)
		}
	})
}
