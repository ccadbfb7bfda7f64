package crew

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

// TestViewAgainstOracle checks that, in any order of events, an incarnation that
// was once draining or announced that it is leaving takes no new work again, that one which was removed takes none
// before it is verified or its entry has stayed for long, and that the grace period after an outage leaves exactly
// the ready entries of the registry in use.
func TestViewAgainstOracle(t *testing.T) {
	lugtest.Check(t, "300", "40", func(t *rapid.T) {
		v := NewView()
		now, revision := start, uint64(0)
		registry := map[string]Target{}
		drained, removed := map[string]bool{}, map[string]bool{}
		// newest has the start of the latest run that the view has heard of, by id, until an earlier one is verified
		// or its entry has stayed for long.
		newest := map[string]int64{}
		startMillis := map[string]int64{"a": 1, "b": 1, "c": 1}
		outage := false
		pending := []Event{}
		handle := func(e Event) {
			before := usableIncarnations(v)
			effects := v.Handle(e)
			for _, x := range effects {
				switch x := x.(type) {
				case Left:
					removed[x.Target.Incarnation()] = removed[x.Target.Incarnation()] || x.Reason == "removed" || x.Reason == "lapsed"
				case Joined:
					if _, late := e.(Tick); late {
						delete(removed, x.Target.Incarnation())
						newest[x.Target.ID()] = x.Target.StartMillis()
					}
				}
			}
			for _, x := range v.All() {
				if x.State() == Draining {
					drained[x.Incarnation()] = true
				}
				newest[x.ID()] = max(newest[x.ID()], x.StartMillis())
			}
			if len(effects) == 0 {
				require.Equal(t, before, usableIncarnations(v), "change without an effect: %T", e)
			}
		}
		send := func(e Event) {
			if outage {
				pending = append(pending, e)
				return
			}
			handle(e)
		}
		snapshot := func() Snapshot {
			s := Snapshot{At: now, Revision: rev(revision)}
			for _, x := range registry {
				s.Targets = append(s.Targets, x)
			}
			return s
		}
		id := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"ready": func(t *rapid.T) {
				k := id.Draw(t, "id")
				if x := registry[k]; x.State() == Draining {
					startMillis[k]++
				}
				revision++
				registry[k] = target(k, startMillis[k], Ready)
				send(Changed{At: now, Target: registry[k], Revision: rev(revision)})
			},
			"drain": func(t *rapid.T) {
				k := id.Draw(t, "id")
				if _, ok := registry[k]; !ok {
					return
				}
				revision++
				registry[k] = target(k, startMillis[k], Draining)
				send(Changed{At: now, Target: registry[k], Revision: rev(revision)})
			},
			"remove": func(t *rapid.T) {
				k := id.Draw(t, "id")
				if _, ok := registry[k]; !ok {
					return
				}
				revision++
				delete(registry, k)
				startMillis[k]++
				send(Removed{At: now, ID: k, Revision: rev(revision)})
			},
			"announce leaving": func(t *rapid.T) {
				k := id.Draw(t, "id")
				announced := target(k, rapid.Int64Range(1, startMillis[k]).Draw(t, "start"), Ready)
				drained[announced.Incarnation()] = true
				v.Handle(Leaving{At: now, Target: announced})
			},
			"late heartbeat": func(t *rapid.T) {
				k := id.Draw(t, "id")
				revision++
				registry[k] = target(k, rapid.Int64Range(1, startMillis[k]).Draw(t, "start"), Ready)
				send(Changed{At: now, Target: registry[k], Revision: rev(revision)})
			},
			"verify": func(t *rapid.T) {
				x, ok := registry[id.Draw(t, "id")]
				if !ok {
					return
				}
				delete(removed, x.Incarnation())
				if v.AwaitsVerification(x) {
					newest[x.ID()] = x.StartMillis()
				}
				handle(Verified{Target: x})
			},
			"lose registry": func(*rapid.T) { outage = true; handle(RegistryLost{At: now}) },
			"recover": func(t *rapid.T) {
				outage = false
				handle(RegistryRecovered{At: now})
				if rapid.Bool().Draw(t, "history compacted") {
					handle(snapshot())
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
				for _, incarnation := range usableIncarnations(v) {
					require.False(t, drained[incarnation], incarnation)
					require.False(t, removed[incarnation], incarnation)
				}
				for _, x := range v.Usable()["s"] {
					require.GreaterOrEqual(t, x.StartMillis(), newest[x.ID()], "an earlier run of %s", x.ID())
				}
			},
		})
		outage = false
		handle(RegistryRecovered{At: now})
		for _, e := range pending {
			handle(e)
		}
		handle(Tick{At: now.Add(GracePeriod)})
		verifyAll(v)
		var want []string
		for _, k := range []string{"a", "b", "c"} {
			if x, ok := registry[k]; ok && x.State() == Ready && !drained[x.Incarnation()] {
				want = append(want, x.Incarnation())
			}
		}
		require.Equal(t, want, usableIncarnations(v))
	})
}
