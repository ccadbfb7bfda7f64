package crew

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example"
	"vanillalug.example/lugtest"
)

// fakeRegistry is the oracle of TestRestoreAgainstOracle: a registry that is
// restored from copies, and the targets that write to it.
type fakeRegistry struct {
	epoch, number uint64
	rows          map[string]Target
	alive         map[string]Target
	copies        []registryCopy
}

type registryCopy struct {
	number uint64
	rows   map[string]Target
}

func (r *fakeRegistry) revision() vanillalug.StoreRevision {
	return vanillalug.NewStoreRevision(r.epoch, r.number)
}

func (r *fakeRegistry) put(t Target, now time.Time) Event {
	r.copies = append(r.copies, registryCopy{number: r.number, rows: maps.Clone(r.rows)})
	r.number++
	WithWritten(r.number)(&t)
	r.rows[t.ID()] = t
	return Changed{At: now, Target: t, Revision: r.revision()}
}

func (r *fakeRegistry) remove(id string, now time.Time) Event {
	r.copies = append(r.copies, registryCopy{number: r.number, rows: maps.Clone(r.rows)})
	r.number++
	delete(r.rows, id)
	return Removed{At: now, ID: id, Revision: r.revision()}
}

func (r *fakeRegistry) snapshot(now time.Time) Snapshot {
	return Snapshot{At: now, Targets: slices.Collect(maps.Values(r.rows)), Revision: r.revision()}
}

func (r *fakeRegistry) restore(c registryCopy) {
	r.epoch++
	r.number = c.number
	r.rows = maps.Clone(c.rows)
}

// rewrite returns the changes by which the targets that are alive write their
// entries again and the registry removes the others.
func (r *fakeRegistry) rewrite(now time.Time) []Event {
	var out []Event
	for _, id := range slices.Sorted(maps.Keys(r.alive)) {
		row, listed := r.rows[id]
		if !listed || row.sequence != r.alive[id].sequence {
			out = append(out, r.put(r.alive[id], now))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.rows)) {
		if _, alive := r.alive[id]; !alive {
			out = append(out, r.remove(id, now))
		}
	}
	return out
}

// TestRestoreAgainstOracle checks that, however a registry is restored and read,
// an incarnation that a view saw draining or removed is not used before it writes
// to the registry again, and that the view equals the registry in the end. A second
// view starts after a restore and is told by the first of the targets that are
// withdrawn then; of unconfirmed ones it learns when the registry removes them.
func TestRestoreAgainstOracle(t *testing.T) {
	lugtest.Check(t, "400", "60", func(t *rapid.T) {
		now := start
		registry := &fakeRegistry{rows: map[string]Target{}, alive: map[string]Target{}}
		v, starter := NewView(), (*View)(nil)
		startMillis := map[string]int64{"a": 1, "b": 1, "c": 1}
		sequence := int64(0)
		gone, starterGone := map[string]bool{}, map[string]bool{}
		writtenAgain := func(e Event) {
			if c, ok := e.(Changed); ok && c.Target.State() == Ready {
				delete(gone, c.Target.Incarnation())
				delete(starterGone, c.Target.Incarnation())
			}
		}
		handle := func(e Event) {
			writtenAgain(e)
			for _, effect := range v.Handle(e) {
				if left, ok := effect.(Left); ok {
					gone[left.Target.Incarnation()] = true
				}
			}
			if starter == nil {
				return
			}
			for _, effect := range starter.Handle(e) {
				if left, ok := effect.(Left); ok {
					starterGone[left.Target.Incarnation()] = true
				}
			}
		}
		next := func(id string, state State) Target {
			sequence++
			x := reported(id, startMillis[id], state, sequence)
			registry.alive[id] = x
			return x
		}
		restoredAt := time.Time{}
		settle := func() {
			for _, e := range registry.rewrite(now) {
				handle(e)
			}
			restoredAt = time.Time{}
		}
		id := rapid.SampledFrom([]string{"a", "b", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"ready": func(t *rapid.T) {
				k := id.Draw(t, "id")
				if x, ok := registry.alive[k]; ok && x.State() == Draining {
					startMillis[k]++
				}
				handle(registry.put(next(k, Ready), now))
			},
			"drain": func(t *rapid.T) {
				k := id.Draw(t, "id")
				if _, ok := registry.alive[k]; ok {
					handle(registry.put(next(k, Draining), now))
				}
			},
			"leave": func(t *rapid.T) {
				k := id.Draw(t, "id")
				if _, ok := registry.rows[k]; ok {
					delete(registry.alive, k)
					startMillis[k]++
					handle(registry.remove(k, now))
				}
			},
			"restore": func(t *rapid.T) {
				if len(registry.copies) == 0 {
					return
				}
				oldest := max(len(registry.copies)-6, 0)
				c := registry.copies[rapid.IntRange(oldest, len(registry.copies)-1).Draw(t, "copy")]
				registry.restore(c)
				restoredAt = now
				if rapid.Bool().Draw(t, "written before the read") {
					for _, e := range registry.rewrite(now) {
						writtenAgain(e)
					}
					restoredAt = time.Time{}
				}
				handle(registry.snapshot(now))
				starter = NewView()
				starterGone = maps.Clone(gone)
				told := Withdrawals{At: now, Targets: v.Withdrawn()}
				if rapid.Bool().Draw(t, "told before the read") {
					starter.Handle(told)
					starter.Handle(registry.snapshot(now))
				} else {
					starter.Handle(registry.snapshot(now))
					starter.Handle(told)
				}
			},
			"write again": func(*rapid.T) { settle() },
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				if !restoredAt.IsZero() && now.Sub(restoredAt) > withdrawnTime-2*time.Second {
					settle()
				}
				handle(Tick{At: now})
			},
			"": func(t *rapid.T) {
				for _, x := range usableIncarnations(v) {
					require.False(t, gone[x], x)
				}
				for _, x := range usableOf(starter) {
					require.False(t, starterGone[x], x)
				}
			},
		})
		settle()
		handle(Tick{At: now.Add(GracePeriod)})
		handle(Tick{At: now.Add(GracePeriod + withdrawnTime)})
		var want []string
		for _, k := range slices.Sorted(maps.Keys(registry.rows)) {
			if x := registry.rows[k]; x.State() == Ready {
				want = append(want, x.Incarnation())
			}
		}
		require.Equal(t, want, usableIncarnations(v))
		if starter != nil {
			require.Equal(t, want, usableIncarnations(starter))
		}
	})
}
