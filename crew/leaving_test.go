package crew

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
)

// TestLeavingIsFinal guards against a target that announced that it is leaving taking work again
// as the same incarnation, when an entry of it comes later: a late heartbeat in a change, a listing
// or a peer's changes, a copy of the registry, or a peer that has not heard of it.
func TestLeavingIsFinal(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	first := Snapshot{At: start, Targets: []Target{reported("a", 1, Ready, 5), reported("b", 1, Ready, 5)}, Revision: rev(10)}
	left := []Event{first, Leaving{At: at(1), Target: reported("a", 1, Ready, 5)}, Removed{At: at(2), ID: "a", Revision: rev(11)}}
	late := reported("a", 1, Ready, 6)
	late.written = 12
	after := func(events ...Event) []Event { return append(append([]Event{}, left...), events...) }
	delta := func() Event {
		v := NewView()
		for _, e := range left {
			v.Handle(e)
		}
		return Delta{Digest: v.Digest(), Changes: []Event{Changed{At: at(5), Target: late, Revision: rev(12)}}, Revision: rev(12)}
	}
	both := []Target{late, reported("b", 1, Ready, 5)}
	noStart := func(sequence int64, address string) Target {
		return NewTarget("c", "s", address, WithState(Ready), WithSequence(sequence))
	}
	tests := map[string]struct {
		events []Event
		want   []string
	}{
		"late heartbeat":                     {after(Changed{At: at(5), Target: late, Revision: rev(12)}), []string{"b/1"}},
		"heartbeats that go on":              {after(Changed{At: at(5), Target: late, Revision: rev(12)}, Changed{At: at(6), Target: reported("a", 1, Ready, 7), Revision: rev(13)}), []string{"b/1"}},
		"late heartbeat, removed, once more": {after(Changed{At: at(5), Target: late, Revision: rev(12)}, Removed{At: at(6), ID: "a", Revision: rev(13)}, Changed{At: at(7), Target: late, Revision: rev(14)}), []string{"b/1"}},
		"late heartbeat in a listing":        {after(Snapshot{At: at(5), Targets: both, Revision: rev(12)}), []string{"b/1"}},
		"late heartbeat, a peer's changes":   {after(delta()), []string{"b/1"}},
		"a peer's view while the store is away": {after(RegistryLost{At: at(3)}, Snapshot{
			At: at(5), Targets: first.Targets[1:], Unconfirmed: []UnconfirmedTarget{{Target: late, TimeLeft: time.Second}}, Revision: rev(12),
		}), []string{"b/1"}},
		"a copy of the registry": {after(Snapshot{At: at(5), Targets: first.Targets, Revision: vanillalug.NewStoreRevision(1, 5)}, Tick{At: at(60)}), []string{"b/1"}},
		"announced when the entry has gone": {[]Event{
			first,
			Removed{At: at(1), ID: "a", Revision: rev(11)},
			Leaving{At: at(2), Target: reported("a", 1, Ready, 5)},
			Changed{At: at(5), Target: late, Revision: rev(12)},
		}, []string{"b/1"}},
		"announced before there is an entry": {[]Event{Leaving{At: start, Target: reported("a", 1, Ready, 5)}, first}, []string{"b/1"}},
		"announced at a peer, written since": {[]Event{
			first,
			Changed{At: at(1), Target: late, Revision: rev(12)},
			Withdrawals{At: at(2), Targets: []WithdrawnTarget{{Target: reported("a", 1, Ready, 5), Revision: rev(11), Final: true}}},
		}, []string{"b/1"}},
		"draining, then a late heartbeat": {[]Event{
			first,
			Changed{At: at(1), Target: reported("a", 1, Draining, 6), Revision: rev(11)},
			Removed{At: at(2), ID: "a", Revision: rev(12)},
			Changed{At: at(5), Target: reported("a", 1, Ready, 6), Revision: rev(13)},
		}, []string{"b/1"}},
		"the next incarnation": {after(Changed{At: at(5), Target: reported("a", 2, Ready, 1), Revision: rev(12)}), []string{"a/2", "b/1"}},
		"the next incarnation, then a late heartbeat of the last": {after(
			Changed{At: at(5), Target: reported("a", 2, Ready, 1), Revision: rev(12)}, Changed{At: at(6), Target: late, Revision: rev(13)},
			Changed{At: at(7), Target: reported("a", 2, Ready, 2), Revision: rev(14)},
		), []string{"a/2", "b/1"}},
		"no start time, heartbeats go on": {[]Event{
			Changed{At: start, Target: noStart(5, "10.0.0.1:1"), Revision: rev(1)},
			Leaving{At: at(1), Target: noStart(5, "10.0.0.1:1")},
			Changed{At: at(2), Target: noStart(6, "10.0.0.1:1"), Revision: rev(2)},
		}, nil},
		"no start time, counted anew": {[]Event{
			Changed{At: start, Target: noStart(5, "10.0.0.1:1"), Revision: rev(1)},
			Leaving{At: at(1), Target: noStart(5, "10.0.0.1:1")},
			Changed{At: at(2), Target: noStart(1, "10.0.0.1:1"), Revision: rev(2)},
			Verified{Target: noStart(1, "10.0.0.1:1")},
			Changed{At: at(3), Target: noStart(2, "10.0.0.1:1"), Revision: rev(3)},
		}, []string{"c/0"}},
		"no start time, an earlier heartbeat": {[]Event{
			Changed{At: start, Target: noStart(5, "10.0.0.1:1"), Revision: rev(1)},
			Leaving{At: at(1), Target: noStart(5, "10.0.0.1:1")},
			Changed{At: at(2), Target: noStart(4, "10.0.0.1:1"), Revision: rev(2)},
			Changed{At: at(3), Target: noStart(5, "10.0.0.1:1"), Revision: rev(3)},
		}, nil},
		"no start time, drains, then an earlier heartbeat, and it says that it leaves": {[]Event{
			Changed{At: start, Target: noStart(5, "10.0.0.1:1"), Revision: rev(1)},
			Changed{At: at(1), Target: NewTarget("c", "s", "10.0.0.1:1", WithState(Draining), WithSequence(6)), Revision: rev(2)},
			Changed{At: at(2), Target: noStart(4, "10.0.0.1:1"), Revision: rev(3)},
			Leaving{At: at(2), Target: noStart(4, "10.0.0.1:1")},
			Tick{At: at(60)},
		}, nil},
		"no start time, at another address": {[]Event{
			Changed{At: start, Target: noStart(5, "10.0.0.1:1"), Revision: rev(1)},
			Leaving{At: at(1), Target: noStart(5, "10.0.0.1:1")},
			Removed{At: at(2), ID: "c", Revision: rev(2)},
			Changed{At: at(3), Target: noStart(9, "10.0.0.2:1"), Revision: rev(3)},
		}, []string{"c/0"}},
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

// TestFinalTombstonesOutlastOthers guards against targets that leave being forgotten, as many
// others were removed since.
func TestFinalTombstonesOutlastOthers(t *testing.T) {
	var l tombstones
	l.add(tombstone{target: reported("leaving", 1, Ready, 1), final: true, at: start})
	for i := range 2 * maxTombstones {
		l.add(tombstone{target: reported("a", int64(i), Ready, 1), at: start.Add(time.Second)})
	}
	_, found := l.get(reported("leaving", 1, Ready, 1))
	require.True(t, found)
	require.LessOrEqual(t, len(l.byIncarnation), maxTombstones)
}

// TestParseIncarnation checks that what Incarnation returns is read, and that other texts aren't.
func TestParseIncarnation(t *testing.T) {
	tests := map[string]struct {
		text, want string
	}{
		"id and start":  {"i-1/17", "i-1/17"},
		"slash in id":   {"x/y/17", "x/y/17"},
		"no start time": {"i-1/0", "i-1/0"},
		"no slash":      {"i-1", ""},
		"no id":         {"/17", ""},
		"no number":     {"i-1/x", ""},
		"empty":         {"", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ParseIncarnation(tt.text)
			if tt.want == "" {
				var invalid *IncarnationError
				require.ErrorAs(t, err, &invalid)
				return
			}
			require.NoError(t, err)
			require.Equal(t, tt.want, got.Incarnation())
		})
	}
}
