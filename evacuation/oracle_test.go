package evacuation

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"vanillalug.example"
	"vanillalug.example/lugtest"
)

// TestStateAgainstOracle drives several routers by random writes, restores of the store, reads,
// feeds and reports, which are late and repeated. It guards against an older statement that undoes
// a newer one, and against one that is lost.
func TestStateAgainstOracle(t *testing.T) {
	lugtest.Check(t, "400", "120", func(t *rapid.T) {
		f := newTestFleet()
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				f.store.write(drawPlace(t), rapid.Bool().Draw(t, "evacuated"))
			},
			"backup":  func(*rapid.T) { f.backup = f.store.clone() },
			"restore": func(*rapid.T) { f.restore() },
			"read": func(t *rapid.T) {
				r := f.draw(t)
				f.read(t, r)
			},
			"poll":    func(t *rapid.T) { f.poll(t, f.draw(t)) },
			"report":  func(t *rapid.T) { f.report(t, f.draw(t), f.draw(t)) },
			"deliver": func(t *rapid.T) { f.deliver(t, f.draw(t)) },
			"pass": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second)
				for _, r := range f.routers {
					r.handle(t, Tick{At: f.now})
				}
			},
			"": func(t *rapid.T) { f.check(t) },
		})
		f.settle(t)
	})
}

func drawPlace(t *rapid.T) string { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "place") }

// testStore is the history of the store: the row or the removal of each failure domain.
type testStore struct {
	epoch, number uint64
	latest        map[string]Statement
	// log has the changes of this epoch and those that the copy has.
	log []Statement
}

func (s *testStore) revision() vanillalug.StoreRevision { return at(s.epoch, s.number) }

func (s *testStore) write(place string, evacuated bool) {
	if !evacuated && !s.latest[place].Evacuated {
		return
	}
	s.number++
	st := Statement{Place: place, Evacuated: evacuated, Revision: s.revision()}
	s.latest[place] = st
	s.log = append(s.log, st)
}

// rows returns the rows as a response of this epoch has them.
func (s *testStore) rows() []Statement {
	var out []Statement
	for _, st := range s.latest {
		if st.Evacuated {
			out = append(out, s.inEpoch(st))
		}
	}
	return out
}

func (s *testStore) inEpoch(st Statement) Statement {
	st.Revision = at(s.epoch, st.Revision.Number())
	return st
}

func (s *testStore) clone() *testStore {
	return &testStore{epoch: s.epoch, number: s.number, latest: maps.Clone(s.latest), log: slices.Clone(s.log)}
}

// testRouter is one State and how far it has read the store.
type testRouter struct {
	name  string
	state *State
	since vanillalug.StoreRevision
	// epochAt is when it first read the store in the epoch of since.
	epochAt time.Time
	// sent are messages that were not delivered yet; a message may be delivered more than once.
	sent [][]Statement
}

// handle applies an event and checks that only a later statement changes anything.
func (r *testRouter) handle(t *rapid.T, e Event) {
	before := map[string]Statement{}
	for _, st := range r.state.Statements() {
		before[st.Place] = st
	}
	r.state.Handle(e)
	for _, st := range r.state.Statements() {
		if old, known := before[st.Place]; known && st != old && !st.Revision.After(old.Revision) {
			t.Fatalf("%s: %+v replaced %+v by %+v", r.name, e, old, st)
		}
	}
}

type testFleet struct {
	now     time.Time
	store   *testStore
	backup  *testStore
	routers []*testRouter
}

func newTestFleet() *testFleet {
	f := &testFleet{now: start, store: &testStore{epoch: 1, latest: map[string]Statement{}}}
	f.backup = f.store.clone()
	for i := range 3 {
		f.routers = append(f.routers, &testRouter{name: fmt.Sprint("r", i), state: NewState()})
	}
	return f
}

func (f *testFleet) draw(t *rapid.T) *testRouter {
	return rapid.SampledFrom(f.routers).Draw(t, "router")
}

func (f *testFleet) restore() {
	epoch := f.store.epoch + 1
	f.store = f.backup.clone()
	f.store.epoch = epoch
	// The next restore is from a copy of this epoch or from an older one.
	f.backup.epoch = epoch
}

func (f *testFleet) read(t *rapid.T, r *testRouter) {
	before := r.state.Statements()
	r.handle(t, Read{At: f.now, Revision: f.store.revision(), Statements: f.store.rows()})
	if r.since.Epoch() != f.store.epoch {
		r.epochAt = f.now
	}
	places := r.state.Places()
	for _, st := range before {
		if st.Evacuated && r.since.Epoch() < f.store.epoch && st.Revision.Epoch() < f.store.epoch && !places[st.Place] {
			t.Fatalf("%s ends what the restored store lacks: %+v", r.name, st)
		}
	}
	r.since = f.store.revision()
}

// poll is the feed since what the router has from the store.
func (f *testFleet) poll(t *rapid.T, r *testRouter) {
	if r.since.IsZero() || r.since.Epoch() != f.store.epoch {
		return
	}
	var out []Statement
	for _, st := range f.store.log {
		if st.Revision.Number() > r.since.Number() {
			out = append(out, f.store.inEpoch(st))
		}
	}
	r.handle(t, Changes{At: f.now, Revision: f.store.revision(), Statements: out})
	r.since = f.store.revision()
}

// report sends what a router tells its peers to another one, to be delivered some time.
func (f *testFleet) report(t *rapid.T, from, to *testRouter) {
	news := from.state.News(f.now)
	for place := range from.state.Places() {
		if !slices.ContainsFunc(news, func(st Statement) bool { return st.Place == place && st.Evacuated }) {
			t.Fatalf("%s does not tell that %s is evacuated", from.name, place)
		}
	}
	to.sent = append(to.sent, news)
}

// deliver delivers one of the messages; it may be delivered again.
func (f *testFleet) deliver(t *rapid.T, r *testRouter) {
	if len(r.sent) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.sent)-1).Draw(t, "message")
	r.handle(t, Report{At: f.now, Statements: r.sent[i]})
}

// check compares each router that has everything from the store with the store. What a restored
// store lacks may stay evacuated for a grace.
func (f *testFleet) check(t *rapid.T) {
	for _, r := range f.routers {
		if r.since != f.store.revision() {
			continue
		}
		places := r.state.Places()
		for place, st := range f.store.latest {
			if st.Evacuated && !places[place] {
				t.Fatalf("%s does not know that %s is evacuated as of %s", r.name, place, st.Revision)
			}
		}
		grace := f.store.epoch > 1 && f.now.Before(r.epochAt.Add(restoreGrace))
		for place := range places {
			if !f.store.latest[place].Evacuated && !grace {
				t.Fatalf("%s takes %s for evacuated", r.name, place)
			}
		}
	}
}

// settle checks that the fleet agrees with the store when reports, reads and time have passed.
func (f *testFleet) settle(t *rapid.T) {
	for range 2 {
		for _, r := range f.routers {
			f.read(t, r)
			for _, message := range r.sent {
				r.handle(t, Report{At: f.now, Statements: message})
			}
		}
		f.check(t)
		f.now = f.now.Add(restoreGrace)
		for _, r := range f.routers {
			r.handle(t, Tick{At: f.now})
		}
	}
	f.check(t)
}
