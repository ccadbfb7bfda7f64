package enginetest

import (
	"cmp"
	"math"
	"slices"
	"time"

	"vanillalug.example/fitting"
)

const (
	// recentPrompts is the number of requests in which a router counts a prompt.
	recentPrompts = 8
	// minRepeats is how many of them make a prompt hot.
	minRepeats = 2
)

// spreadPolicy sends the requests of a hot prompt to several engines. Loads of peers
// are too old at a large fleet to notice a hot prompt by the load of its engine, but
// its share of a router's own requests tells how many are in flight at all engines.
type spreadPolicy struct{ recent []uint64 }

// SpreadHotPrompts returns a policy that spreads hot prompts over as many engines as
// their share of the load needs, and otherwise chooses like the router.
func SpreadHotPrompts() Policy { return &spreadPolicy{} }

// Observe implements Policy.
func (*spreadPolicy) Observe(time.Duration) {}

// Choose implements Policy.
func (s *spreadPolicy) Choose(q fitting.Request, all []fitting.Candidate) fitting.Decision {
	key, ok := q.Work.PromptKey()
	if !ok {
		return fitting.Choose(q, all)
	}
	share := s.record(key)
	n := enginesNeeded(share, all)
	if n <= 1 {
		return fitting.Choose(q, all)
	}
	order := byRendezvous(key, all)[:min(n, len(all))]
	chosen := []int{order[int(q.Random>>8)%len(order)], order[int(q.Random>>32)%len(order)]}
	some := slices.Clone(all)
	for i := range some {
		some[i].Tried = some[i].Tried || !slices.Contains(chosen, i)
	}
	return fitting.Choose(q, some)
}

// record adds a prompt to the recent ones and returns its share of those before; 0
// unless it is hot.
func (s *spreadPolicy) record(key uint64) float64 {
	repeats := 0
	for _, k := range s.recent {
		if k == key {
			repeats++
		}
	}
	s.recent = append(s.recent, key)
	s.recent = s.recent[max(len(s.recent)-recentPrompts, 0):]
	if repeats < minRepeats {
		return 0
	}
	return float64(repeats) / recentPrompts
}

// enginesNeeded returns how many engines the share of all requests in flight needs so
// that each of them has half of the mean load and one beside its own.
func enginesNeeded(share float64, all []fitting.Candidate) int {
	total := 0
	for _, c := range all {
		total += c.Load.Requests()
	}
	mean := float64(total) / float64(max(len(all), 1))
	return int(math.Ceil(share * float64(total) / (mean/2 + 1)))
}

// byRendezvous returns the indexes of the candidates in the order that all routers
// share for a prompt.
func byRendezvous(key uint64, all []fitting.Candidate) []int {
	order := make([]int, len(all))
	for i := range all {
		order[i] = i
	}
	score := func(i int) uint64 { return fitting.PromptKey(all[i].Target.ID(), key) }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(score(b), score(a)) })
	return order
}
