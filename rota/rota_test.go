package rota

import (
	"math/bits"
	"slices"
	"strconv"
	"testing"
	"time"

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
			if FollowsStore(Peer{Name: self}, peersOf(all, self, always), 0) {
				count++
			}
		}
		require.Equal(t, want, count, n)
	}
}

// TestEveryRouterHasFollowers checks that, whichever routers receive each other's
// messages, each one follows the store unless at least minFollowers of its peers do:
// the first of those that it receives at once, every other one after as many takeovers
// as the logarithm of their number needs.
func TestEveryRouterHasFollowers(t *testing.T) {
	lugtest.Check(t, "300", "1", func(t *rapid.T) {
		all := names(rapid.IntRange(1, 40).Draw(t, "routers"))
		follows := map[string]bool{}
		for _, n := range all {
			follows[n] = rapid.Bool().Draw(t, "follows")
		}
		for _, self := range all {
			var received []Peer
			for _, other := range all {
				if other != self && rapid.Bool().Draw(t, "received") {
					received = append(received, Peer{Name: other, Following: follows[other]})
				}
			}
			routers := len(received) + 1
			doublings := bits.Len(uint((routers - 1) / followerCount(routers)))
			if TooFewFollowers(received) {
				require.True(t, FollowsStore(Peer{Name: self}, received, time.Duration(doublings)*takeoverInterval))
			}
			if self == FirstRouter(self, received) {
				require.True(t, FollowsStore(Peer{Name: self}, received, 0))
			}
		}
	})
}

// TestFollowersDuringOutage checks that while no router gets responses the number of
// those that try grows step by step, instead of all of them trying at once.
func TestFollowersDuringOutage(t *testing.T) {
	all := names(195)
	never := func(string) bool { return false }
	for step, want := range map[int]int{0: 10, 1: 20, 2: 40, 3: 80, 4: 160, 5: 195, 40: 195} {
		count := 0
		for _, self := range all {
			peers := peersOf(all, self, never)
			require.True(t, TooFewFollowers(peers))
			if FollowsStore(Peer{Name: self}, peers, time.Duration(step)*takeoverInterval) {
				count++
			}
		}
		require.Equal(t, want, count, step)
	}
}

// TestWideLinksFollowFirst guards against a large table that is read over narrow links while others are
// wide, and against fewer followers where only some links are.
func TestWideLinksFollowFirst(t *testing.T) {
	tests := map[string]struct {
		wide, followers, wideFollowers int
	}{
		"none":     {0, 9, 0},
		"some":     {6, 9, 6},
		"all":      {113, 9, 9},
		"one of 3": {38, 9, 9},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var all []Peer
			for i, n := range names(113) {
				p := Peer{Name: n, Following: true, LinkMbps: 10}
				if i < tt.wide {
					p.LinkMbps = 200
				}
				all = append(all, p)
			}
			followers, wide := 0, 0
			for i, self := range all {
				others := slices.Delete(slices.Clone(all), i, i+1)
				if !FollowsStore(self, others, 0) {
					continue
				}
				followers++
				if self.wide() {
					wide++
				}
			}
			require.Equal(t, tt.followers, followers)
			require.Equal(t, tt.wideFollowers, wide)
		})
	}
}
