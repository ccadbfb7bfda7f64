package crew

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func target(id string, startMillis int64, state State) Target {
	return NewTarget(id, "s", "10.0.0.1:1", WithStartMillis(startMillis), WithState(state))
}

// rev returns a revision of a store that was never restored.
func rev(number uint64) vanillalug.StoreRevision { return vanillalug.NewStoreRevision(0, number) }

func usableIncarnations(v *View) []string {
	var out []string
	for _, t := range v.Usable()["s"] {
		out = append(out, t.Incarnation())
	}
	return out
}

func TestView(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	tests := map[string]struct {
		events []Event
		want   []string
	}{
		"snapshot": {
			[]Event{Snapshot{At: start, Targets: []Target{target("b", 1, Ready), target("a", 1, Ready), target("c", 1, Draining)}, Revision: rev(5)}},
			[]string{"a/1", "b/1"},
		},
		"draining target takes no new work": {
			[]Event{Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(1)}, Changed{Target: target("a", 1, Draining), Revision: rev(2)}},
			nil,
		},
		"draining incarnation never becomes ready again": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(1)},
				Changed{Target: target("a", 1, Draining), Revision: rev(2)},
				Changed{Target: target("a", 1, Ready), Revision: rev(3)},
			},
			nil,
		},
		"new incarnation under the same id is ready": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(1)},
				Changed{Target: target("a", 1, Draining), Revision: rev(2)},
				Changed{Target: target("a", 9, Ready), Revision: rev(3)},
			},
			[]string{"a/9"},
		},
		"removed while the registry is available": {
			[]Event{Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(1)}, Removed{At: at(1), ID: "a", Revision: rev(2)}},
			nil,
		},
		"changes with old revisions are ignored": {
			[]Event{Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(5)}, Removed{ID: "a", Revision: rev(4)}, Changed{Target: target("b", 1, Ready), Revision: rev(5)}},
			[]string{"a/1"},
		},
		"older snapshot is ignored": {
			[]Event{Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(5)}, Snapshot{Targets: nil, Revision: rev(4)}},
			[]string{"a/1"},
		},
		"kept during an outage of the registry": {
			[]Event{Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(1)}, RegistryLost{At: at(1)}, Tick{At: at(60)}},
			[]string{"a/1"},
		},
		"unconfirmed, used as the only target": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(1)},
				RegistryLost{At: at(1)},
				RegistryRecovered{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: rev(2)},
				Tick{At: at(10.9)},
			},
			[]string{"a/1"},
		},
		"unconfirmed, not used beside confirmed ones": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready)}, Revision: rev(1)},
				RegistryLost{At: at(1)},
				RegistryRecovered{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: rev(2)},
				Tick{At: at(10)},
			},
			[]string{"b/1"},
		},
		"unconfirmed, confirmed within the grace period": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(1)},
				RegistryLost{At: at(1)},
				RegistryRecovered{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: rev(2)},
				Changed{At: at(10.5), Target: target("a", 1, Ready), Revision: rev(3)},
				Tick{At: at(20)},
			},
			[]string{"a/1"},
		},
		"unconfirmed, removed after the grace period": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(1)},
				RegistryLost{At: at(1)},
				RegistryRecovered{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: rev(2)},
				Tick{At: at(11)},
			},
			nil,
		},
		"missing in the snapshot after an outage": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(1)},
				RegistryLost{At: at(1)},
				RegistryRecovered{At: at(9)},
				Snapshot{At: at(9), Targets: nil, Revision: rev(7)},
				Tick{At: at(11)},
			},
			nil,
		},
		"unconfirmed at a peer": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready)}, Revision: rev(1)},
				Snapshot{
					At: at(1), Targets: []Target{target("b", 1, Ready)}, Revision: rev(2),
					Unconfirmed: []UnconfirmedTarget{{Target: target("a", 1, Ready), TimeLeft: time.Second}},
				},
			},
			[]string{"b/1"},
		},
		"unconfirmed at a peer, removed after its time left": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(1)},
				Snapshot{At: at(1), Revision: rev(2), Unconfirmed: []UnconfirmedTarget{{Target: target("a", 1, Ready), TimeLeft: time.Second}}},
				Tick{At: at(2)},
			},
			nil,
		},
		"most of a service unconfirmed, all used": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready), target("c", 1, Ready)}, Revision: rev(1)},
				RegistryLost{At: at(1)},
				RegistryRecovered{At: at(9)},
				Removed{At: at(9.1), ID: "a", Revision: rev(2)},
				Removed{At: at(9.1), ID: "b", Revision: rev(3)},
				Tick{At: at(10)},
			},
			[]string{"a/1", "b/1", "c/1"},
		},
		"draining target stays so across an outage": {
			[]Event{
				Snapshot{Targets: []Target{target("a", 1, Draining)}, Revision: rev(1)},
				RegistryLost{At: at(1)},
				Changed{Target: target("a", 1, Ready), Revision: rev(2)},
			},
			nil,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			for _, e := range tt.events {
				v.Handle(e)
			}
			require.Equal(t, tt.want, usableIncarnations(v))
		})
	}
}

func TestDigest(t *testing.T) {
	a, b := NewView(), NewView()
	a.Handle(Snapshot{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready)}, Revision: rev(3)})
	b.Handle(Changed{Target: target("b", 1, Ready), Revision: rev(1)})
	b.Handle(Changed{Target: target("a", 1, Ready), Revision: rev(2)})
	require.Equal(t, a.Digest(), b.Digest(), "same targets, in another order of changes")
	b.Handle(Changed{Target: target("a", 1, Draining), Revision: rev(3)})
	require.NotEqual(t, a.Digest(), b.Digest())
}
