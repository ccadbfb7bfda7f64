package desk

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
	"vanillalug.example/schedule"
)

// TestControllerAgainstModel checks after random events that the load limit holds
// at admission, no request is lost or decided twice and the queues stay within
// their limits.
func TestControllerAgainstModel(t *testing.T) {
	steps, admitted := 0, 0
	lugtest.Check(t, "200", "80", func(t *rapid.T) {
		m := newModel(rapid.IntRange(1, 12).Draw(t, "slots"))
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   m.arrive,
			"arrive-2": m.arrive,
			"finish":   m.finish,
			"withdraw": m.withdraw,
			"report": func(t *rapid.T) {
				m.take(t, m.controller.Handle(LoadReported{InFlight: len(m.running) + rapid.IntRange(0, 3).Draw(t, "foreign")}))
			},
			"pool": func(t *rapid.T) {
				m.pool = NewPool(rapid.IntRange(1, 5).Draw(t, "engines"), rapid.IntRange(0, 60).Draw(t, "load"), 1.25, 2)
				m.take(t, m.controller.Handle(PoolChanged{Pool: m.pool}))
			},
			"pass": func(t *rapid.T) {
				m.clock.Advance(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
				m.take(t, m.controller.Handle(Tick{}))
			},
			"": func(t *rapid.T) {
				steps++
				require.Equal(t, len(m.waiting), m.controller.Waiting())
				require.GreaterOrEqual(t, m.controller.Load(), len(m.running))
				for class, n := range m.perClass() {
					require.LessOrEqual(t, n, 5, class)
				}
			},
		})
		admitted += m.admitted
	})
	t.Logf("%d steps, %d admitted", steps, admitted)
}

// model tracks the state of each request from the effects alone.
type model struct {
	controller *Controller
	clock      *schedule.Fake
	slots      int
	pool       Pool
	serial     int
	running    []string
	waiting    map[string]string
	admitted   int
}

func newModel(slots int) *model {
	c, clock := newController(slots)
	return &model{controller: c, clock: clock, slots: slots, pool: NewPool(1, 0, 1.25, 2), waiting: map[string]string{}}
}

func (m *model) arrive(t *rapid.T) {
	m.serial++
	id := fmt.Sprint(m.serial)
	class := rapid.SampledFrom([]string{"interactive", "batch"}).Draw(t, "class")
	workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace")
	r := NewRequest(id, workspace, WithClass(class, 2, 5, 3*time.Second))
	last := rapid.Bool().Draw(t, "last")
	other := NewAlternative("other", rapid.IntRange(0, 6).Draw(t, "other"), 6)
	effects := m.controller.Handle(Arrived{Request: r, Pool: m.pool, Alternatives: []Alternative{other}, Last: last})
	first := effects[0]
	if _, ok := first.(Wait); ok {
		m.waiting[id] = class
	}
	if e, ok := first.(Spill); ok {
		require.False(t, last)
		require.Equal(t, "other", e.Engine)
	}
	m.take(t, effects)
}

// take applies and checks the effects. An admitted request never takes the engine
// above its slots or above the load limit of the pool.
func (m *model) take(t *rapid.T, effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Admit:
			m.running = append(m.running, e.ID)
			delete(m.waiting, e.ID)
			m.admitted++
			require.LessOrEqual(t, len(m.running), min(m.slots, m.pool.Limit()))
		case Reject:
			delete(m.waiting, e.ID)
			require.GreaterOrEqual(t, e.RetryAfter, time.Second)
		}
	}
}

func (m *model) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "finish")
	id := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	m.take(t, m.controller.Handle(Finished{ID: id}))
}

func (m *model) withdraw(t *rapid.T) {
	for id := range m.waiting {
		delete(m.waiting, id)
		m.take(t, m.controller.Handle(Canceled{ID: id}))
		return
	}
}

func (m *model) perClass() map[string]int {
	out := map[string]int{}
	for _, class := range m.waiting {
		out[class]++
	}
	return out
}
