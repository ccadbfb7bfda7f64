package vanillalug

import (
	"cmp"
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

// Best returns the name that Rank puts first, or "".
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

// NameKey returns the ranking key of a name.
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
