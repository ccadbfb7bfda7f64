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
	return NewTarget(id, "s", "10.0.0.1:1", WithStartMillis(born), WithState(state))
}

func ids(b *View) []string {
	var out []string
	for _, t := range b.Usable()["s"] {
		out = append(out, t.Incarnation())
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
			[]Event{Snapshot{At: start, Targets: []Target{target("b", 1, Ready), target("a", 1, Ready), target("c", 1, Draining)}, Revision: 5}},
			[]string{"a/1", "b/1"},
		},
		"leaving takes nothing new": {
			[]Event{Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 1}, Changed{Target: target("a", 1, Draining), Revision: 2}},
			nil,
		},
		"a lifetime that was leaving never comes back": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				Changed{Target: target("a", 1, Draining), Revision: 2},
				Changed{Target: target("a", 1, Ready), Revision: 3},
			},
			nil,
		},
		"a new lifetime under the same id does": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				Changed{Target: target("a", 1, Draining), Revision: 2},
				Changed{Target: target("a", 9, Ready), Revision: 3},
			},
			[]string{"a/9"},
		},
		"removed while the registry is there": {
			[]Event{Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 1}, Removed{At: at(1), ID: "a", Revision: 2}},
			nil,
		},
		"old news changes nothing": {
			[]Event{Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 5}, Removed{ID: "a", Revision: 4}, Changed{Target: target("b", 1, Ready), Revision: 5}},
			[]string{"a/1"},
		},
		"an older list changes nothing": {
			[]Event{Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 5}, Snapshot{Targets: nil, Revision: 4}},
			[]string{"a/1"},
		},
		"kept while the registry is away": {
			[]Event{Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 1}, RegistryLost{At: at(1)}, Tick{At: at(60)}},
			[]string{"a/1"},
		},
		"lapsed, and used while nothing else is there": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				RegistryLost{At: at(1)},
				RegistryRecovered{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: 2},
				Tick{At: at(10.9)},
			},
			[]string{"a/1"},
		},
		"lapsed, and left out beside others": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready)}, Revision: 1},
				RegistryLost{At: at(1)},
				RegistryRecovered{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: 2},
				Tick{At: at(10)},
			},
			[]string{"b/1"},
		},
		"lapsed and back in time": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				RegistryLost{At: at(1)},
				RegistryRecovered{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: 2},
				Changed{At: at(10.5), Target: target("a", 1, Ready), Revision: 3},
				Tick{At: at(20)},
			},
			[]string{"a/1"},
		},
		"lapsed and gone after two seconds": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				RegistryLost{At: at(1)},
				RegistryRecovered{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: 2},
				Tick{At: at(11)},
			},
			nil,
		},
		"missing in a list after the return": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				RegistryLost{At: at(1)},
				RegistryRecovered{At: at(9)},
				Snapshot{At: at(9), Targets: nil, Revision: 7},
				Tick{At: at(11)},
			},
			nil,
		},
		"a peer's doubt is no belief": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready)}, Revision: 1},
				Snapshot{
					At: at(1), Targets: []Target{target("b", 1, Ready)}, Revision: 2,
					Unconfirmed: []UnconfirmedTarget{{Target: target("a", 1, Ready), TimeLeft: time.Second}},
				},
			},
			[]string{"b/1"},
		},
		"a peer's doubt ends with its time": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 1},
				Snapshot{At: at(1), Revision: 2, Unconfirmed: []UnconfirmedTarget{{Target: target("a", 1, Ready), TimeLeft: time.Second}}},
				Tick{At: at(2)},
			},
			nil,
		},
		"most of a service lapsed, all are used": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready), target("c", 1, Ready)}, Revision: 1},
				RegistryLost{At: at(1)},
				RegistryRecovered{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: 2},
				Removed{At: at(9.1), ID: "b", Revision: 3},
				Tick{At: at(10)},
			},
			[]string{"a/1", "b/1", "c/1"},
		},
		"leaving before the registry was lost stays so": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Draining)}, Revision: 1},
				RegistryLost{At: at(1)},
				Changed{Target: target("a", 1, Ready), Revision: 2},
			},
			nil,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewView()
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
		b := NewView()
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
		list := func() Snapshot {
			l := Snapshot{At: now, Revision: revision}
			for _, x := range registry {
				l.Targets = append(l.Targets, x)
			}
			return l
		}
		id := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"ready": func(t *rapid.T) {
				k := id.Draw(t, "id")
				if x := registry[k]; x.State() == Draining {
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
				registry[k] = target(k, born[k], Draining)
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
			"lose": func(*rapid.T) { away = true; handle(RegistryLost{At: now}) },
			"regain": func(t *rapid.T) {
				away = false
				handle(RegistryRecovered{At: now})
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
				handle(Tick{At: now})
			},
			"": func(t *rapid.T) {
				for _, x := range b.All() {
					if x.State() == Draining {
						heardLeaving[x.Incarnation()] = true
					}
				}
				for _, lifetime := range ids(b) {
					require.False(t, heardLeaving[lifetime], lifetime)
				}
			},
		})
		away = false
		handle(RegistryRecovered{At: now})
		for _, e := range pending {
			handle(e)
		}
		handle(Tick{At: now.Add(GracePeriod)})
		var want []string
		for _, k := range []string{"a", "b", "c"} {
			if x, ok := registry[k]; ok && x.State() == Ready {
				want = append(want, x.Incarnation())
			}
		}
		require.Equal(t, want, ids(b))
	})
}

func TestDigest(t *testing.T) {
	a, b := NewView(), NewView()
	a.Handle(Snapshot{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready)}, Revision: 3})
	b.Handle(Changed{Target: target("b", 1, Ready), Revision: 1})
	b.Handle(Changed{Target: target("a", 1, Ready), Revision: 2})
	require.Equal(t, a.Digest(), b.Digest(), "the same beliefs, however they were heard")
	b.Handle(Changed{Target: target("a", 1, Draining), Revision: 3})
	require.NotEqual(t, a.Digest(), b.Digest())
}
