package crew

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func target(id string, born int64, state State) Target {
	return NewTarget(id, "s", "10.0.0.1:1", WithBorn(born), WithState(state))
}

func ids(b *Book) []string {
	var out []string
	for _, t := range b.Usable()["s"] {
		out = append(out, t.Lifetime())
	}
	return out
}

func TestBook(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tests := map[string]struct {
		events []Event
		want   []string
	}{
		"listed": {
			[]Event{Listed{At: start, Targets: []Target{target("b", 1, Ready), target("a", 1, Ready), target("c", 1, Leaving)}, Revision: 5}},
			[]string{"a/1", "b/1"},
		},
		"leaving takes nothing new": {
			[]Event{Listed{Targets: []Target{target("a", 1, Ready)}, Revision: 1}, Changed{Target: target("a", 1, Leaving), Revision: 2}},
			nil,
		},
		"a lifetime that was leaving never comes back": {
			[]Event{
				Listed{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				Changed{Target: target("a", 1, Leaving), Revision: 2},
				Changed{Target: target("a", 1, Ready), Revision: 3},
			},
			nil,
		},
		"a new lifetime under the same id does": {
			[]Event{
				Listed{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				Changed{Target: target("a", 1, Leaving), Revision: 2},
				Changed{Target: target("a", 9, Ready), Revision: 3},
			},
			[]string{"a/9"},
		},
		"removed while the registry is there": {
			[]Event{Listed{Targets: []Target{target("a", 1, Ready)}, Revision: 1}, Removed{At: at(1), ID: "a", Revision: 2}},
			nil,
		},
		"old news changes nothing": {
			[]Event{Listed{Targets: []Target{target("a", 1, Ready)}, Revision: 5}, Removed{ID: "a", Revision: 4}, Changed{Target: target("b", 1, Ready), Revision: 5}},
			[]string{"a/1"},
		},
		"an older list changes nothing": {
			[]Event{Listed{Targets: []Target{target("a", 1, Ready)}, Revision: 5}, Listed{Targets: nil, Revision: 4}},
			[]string{"a/1"},
		},
		"kept while the registry is away": {
			[]Event{Listed{Targets: []Target{target("a", 1, Ready)}, Revision: 1}, Lost{At: at(1)}, Elapsed{At: at(60)}},
			[]string{"a/1"},
		},
		"lapsed, and used while nothing else is there": {
			[]Event{
				Listed{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				Lost{At: at(1)},
				Regained{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: 2},
				Elapsed{At: at(10.9)},
			},
			[]string{"a/1"},
		},
		"lapsed, and left out beside others": {
			[]Event{
				Listed{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready)}, Revision: 1},
				Lost{At: at(1)},
				Regained{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: 2},
				Elapsed{At: at(10)},
			},
			[]string{"b/1"},
		},
		"lapsed and back in time": {
			[]Event{
				Listed{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				Lost{At: at(1)},
				Regained{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: 2},
				Changed{At: at(10.5), Target: target("a", 1, Ready), Revision: 3},
				Elapsed{At: at(20)},
			},
			[]string{"a/1"},
		},
		"lapsed and gone after two seconds": {
			[]Event{
				Listed{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				Lost{At: at(1)},
				Regained{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: 2},
				Elapsed{At: at(11)},
			},
			nil,
		},
		"missing in a list after the return": {
			[]Event{
				Listed{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				Lost{At: at(1)},
				Regained{At: at(9)},
				Listed{At: at(9), Targets: nil, Revision: 7},
				Elapsed{At: at(11)},
			},
			nil,
		},
		"a peer's doubt is no belief": {
			[]Event{
				Listed{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready)}, Revision: 1},
				Listed{
					At: at(1), Targets: []Target{target("b", 1, Ready)}, Revision: 2,
					Doubts: []Doubt{{Target: target("a", 1, Ready), Left: time.Second}},
				},
			},
			[]string{"b/1"},
		},
		"a peer's doubt ends with its time": {
			[]Event{
				Listed{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				Listed{At: at(1), Revision: 2, Doubts: []Doubt{{Target: target("a", 1, Ready), Left: time.Second}}},
				Elapsed{At: at(2)},
			},
			nil,
		},
		"most of a service lapsed, all are used": {
			[]Event{
				Listed{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready), target("c", 1, Ready)}, Revision: 1},
				Lost{At: at(1)},
				Regained{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: 2},
				Removed{At: at(9.1), ID: "b", Revision: 3},
				Elapsed{At: at(10)},
			},
			[]string{"a/1", "b/1", "c/1"},
		},
		"leaving before the registry was lost stays so": {
			[]Event{
				Listed{Targets: []Target{target("a", 1, Leaving)}, Revision: 1},
				Lost{At: at(1)},
				Changed{Target: target("a", 1, Ready), Revision: 2},
			},
			nil,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBook()
			for _, e := range tt.events {
				b.Handle(e)
			}
			require.Equal(t, tt.want, ids(b))
		})
	}
}

// TestBookAgainstOracle: in any order of news, a lifetime that was once heard
// to be leaving takes no new work again, and once the registry has been back
// for the time of return, exactly its ready entries are used.
func TestBookAgainstOracle(t *testing.T) {
	lugtest.Check(t, "300", "40", func(t *rapid.T) {
		b := NewBook()
		now, revision := start, uint64(0)
		registry := map[string]Target{}
		heardLeaving := map[string]bool{}
		born := map[string]int64{"a": 1, "b": 1, "c": 1}
		away := false
		pending := []Event{}
		handle := func(e Event) {
			before := ids(b)
			effects := b.Handle(e)
			if len(effects) == 0 {
				require.Equal(t, before, ids(b), "a change that nobody is told of: %T", e)
			}
		}
		send := func(e Event) {
			if away {
				pending = append(pending, e)
				return
			}
			handle(e)
		}
		list := func() Listed {
			l := Listed{At: now, Revision: revision}
			for _, x := range registry {
				l.Targets = append(l.Targets, x)
			}
			return l
		}
		id := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"ready": func(t *rapid.T) {
				k := id.Draw(t, "id")
				if x := registry[k]; x.State() == Leaving {
					born[k]++
				}
				revision++
				registry[k] = target(k, born[k], Ready)
				send(Changed{At: now, Target: registry[k], Revision: revision})
			},
			"leaving": func(t *rapid.T) {
				k := id.Draw(t, "id")
				if _, ok := registry[k]; !ok {
					return
				}
				revision++
				registry[k] = target(k, born[k], Leaving)
				send(Changed{At: now, Target: registry[k], Revision: revision})
			},
			"remove": func(t *rapid.T) {
				k := id.Draw(t, "id")
				if _, ok := registry[k]; !ok {
					return
				}
				revision++
				delete(registry, k)
				born[k]++
				send(Removed{At: now, ID: k, Revision: revision})
			},
			"lose": func(*rapid.T) { away = true; handle(Lost{At: now}) },
			"regain": func(t *rapid.T) {
				away = false
				handle(Regained{At: now})
				if rapid.Bool().Draw(t, "history gone") {
					handle(list())
				} else {
					for _, e := range pending {
						handle(e)
					}
				}
				pending = nil
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				handle(Elapsed{At: now})
			},
			"": func(t *rapid.T) {
				for _, x := range b.All() {
					if x.State() == Leaving {
						heardLeaving[x.Lifetime()] = true
					}
				}
				for _, lifetime := range ids(b) {
					require.False(t, heardLeaving[lifetime], lifetime)
				}
			},
		})
		away = false
		handle(Regained{At: now})
		for _, e := range pending {
			handle(e)
		}
		handle(Elapsed{At: now.Add(ReturnTime)})
		var want []string
		for _, k := range []string{"a", "b", "c"} {
			if x, ok := registry[k]; ok && x.State() == Ready {
				want = append(want, x.Lifetime())
			}
		}
		require.Equal(t, want, ids(b))
	})
}

func TestDigest(t *testing.T) {
	a, b := NewBook(), NewBook()
	a.Handle(Listed{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready)}, Revision: 3})
	b.Handle(Changed{Target: target("b", 1, Ready), Revision: 1})
	b.Handle(Changed{Target: target("a", 1, Ready), Revision: 2})
	require.Equal(t, a.Digest(), b.Digest(), "the same beliefs, however they were heard")
	b.Handle(Changed{Target: target("a", 1, Leaving), Revision: 3})
	require.NotEqual(t, a.Digest(), b.Digest())
}
