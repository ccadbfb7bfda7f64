package register

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example"
	"vanillalug.example/lugtest"
)

// check verifies that the versions of a router only increase, and that each is the
// published version of that number. It also compares the result of each operator
// with the published versions.
func (s *simulation) check(t *rapid.T) {
	for i, r := range s.routers {
		h := r.Head()
		require.GreaterOrEqual(t, h.version, s.highest[i])
		s.highest[i] = h.version
		if h.version > 0 {
			require.Equal(t, s.store.published[h.version-1].head, h)
		}
	}
	for _, o := range s.operators {
		n := 0
		for _, r := range s.store.published {
			if r.head.publication == o.record.head.publication {
				n++
			}
		}
		switch o.outcome.(type) {
		case Published:
			require.Equal(t, 1, n)
		case Conflict:
			require.Zero(t, n)
		}
		require.LessOrEqual(t, n, 1)
	}
}

// TestVersionsIncreaseAndConverge runs concurrent operators with lost responses, stale
// reads, delayed writes and router restarts, and calls check after every step. In
// the end all routers have the latest version.
func TestVersionsIncreaseAndConverge(t *testing.T) {
	steps := 0
	lugtest.Check(t, "200", "80", func(t *rapid.T) {
		s := newSimulation(3)
		router := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"begin":  s.begin,
			"step":   s.step,
			"step-2": s.step,
			"late": func(t *rapid.T) {
				if len(s.store.delayed) > 0 {
					s.store.write(s.store.delayed[0])
					s.store.delayed = s.store.delayed[1:]
				}
			},
			"late-document": func(t *rapid.T) {
				if len(s.delayed) > 0 {
					late := rapid.SampledFrom(s.delayed).Draw(t, "late-document")
					late.router.Handle(late.event)
				}
			},
			"poll":   func(t *rapid.T) { s.poll(t, router.Draw(t, "router"), false) },
			"gossip": func(t *rapid.T) { s.gossip(t, router.Draw(t, "to"), router.Draw(t, "from"), false) },
			"restart": func(t *rapid.T) {
				i := router.Draw(t, "restart")
				s.routers[i] = New(s.clock, vanillalug.SupportedLevels())
				s.highest[i] = 0
			},
			"pass": func(t *rapid.T) { s.clock.Advance(3 * time.Second) },
			"": func(t *rapid.T) {
				steps++
				s.check(t)
			},
		})
		s.converge(t)
	})
	t.Logf("%d steps", steps)
}

// converge lets the first router read the store and each other router fetch from
// a peer, without faults, and checks that all have the latest version.
func (s *simulation) converge(t *rapid.T) {
	s.clock.Advance(3 * time.Second)
	s.poll(t, 0, true)
	for i := 1; i < len(s.routers); i++ {
		s.clock.Advance(3 * time.Second)
		s.gossip(t, i, i-1, true)
	}
	for _, r := range s.routers {
		require.Equal(t, uint64(len(s.store.published)), r.Head().Version())
	}
}
