package vanillalug

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders names by rendezvous hashing for the key, best first.
// Adding or removing a name never changes the order of the others.
func Rank(key uint64, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, n := range names {
		all[i] = scored{name: n, score: rankScore(key, n)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.name
	}
	return out
}

// RankEngines orders the engines for the key, best first, by the ranking of the
// rules level.
func RankEngines(level int, key uint64, engines []Engine) []string {
	if level < WeightedRank {
		names := make([]string, len(engines))
		for i, e := range engines {
			names[i] = e.name
		}
		return Rank(key, names)
	}
	type scored struct {
		name  string
		score float64
	}
	all := make([]scored, len(engines))
	for i, e := range engines {
		all[i] = scored{name: e.name, score: weightedScore(key, e)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.name
	}
	return out
}

// weightedScore is the score of weighted rendezvous hashing: -w / ln(u) for a
// hash u in (0, 1).
func weightedScore(key uint64, e Engine) float64 {
	u := (float64(rankScore(key, e.name)>>11) + 0.5) / (1 << 53)
	return -float64(e.slots) / math.Log(u)
}

// Best returns the name that Rank puts first, or "" if there are no names.
func Best(key uint64, names []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range names {
		s := rankScore(key, n)
		if best == "" || s > bestScore || s == bestScore && n < best {
			best, bestScore = n, s
		}
	}
	return best
}

// NameKey returns the key for Rank and Best that a name hashes to.
func NameKey(name string) uint64 { return xxhash.Sum64String(name) }

// rankScore mixes the key with the hash of the name (splitmix64 finalizer).
func rankScore(key uint64, name string) uint64 {
	x := key ^ xxhash.Sum64String(name)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
