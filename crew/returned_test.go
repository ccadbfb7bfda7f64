package crew

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example"
)

// verifyAll verifies all targets whose entries are back after their removal.
func verifyAll(v *View) {
	for _, t := range v.All() {
		v.Handle(Verified{Target: t})
	}
}

// TestReturned guards against a target that was removed taking work again because a heartbeat from before
// was performed late, in a change, a listing or a peer's changes, whatever its number.
func TestReturned(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	first := Snapshot{At: start, Targets: []Target{reported("a", 1, Ready, 5), reported("b", 1, Ready, 5)}, Revision: rev(10)}
	removed := []Event{first, Removed{At: at(2), ID: "a", Revision: rev(11)}}
	after := func(events ...Event) []Event { return append(append([]Event{}, removed...), events...) }
	change := func(sequence int64) Changed {
		return Changed{At: at(5), Target: reported("a", 1, Ready, sequence), Revision: rev(12)}
	}
	listed := Snapshot{At: at(5), Targets: []Target{reported("a", 1, Ready, 4), reported("b", 1, Ready, 5)}, Revision: rev(12)}
	view := func(events ...Event) *View {
		v := NewView()
		for _, e := range events {
			v.Handle(e)
		}
		return v
	}
	verified := Verified{Target: reported("a", 1, Ready, 1)}
	others, both := []string{"b/1"}, []string{"a/1", "b/1"}
	tests := map[string]struct {
		events []Event
		want   []string
	}{
		"an earlier heartbeat":                    {after(change(4)), others},
		"the same heartbeat":                      {after(change(5)), others},
		"a later heartbeat":                       {after(change(6)), others},
		"two heartbeats":                          {after(change(6), Changed{At: at(6), Target: reported("a", 1, Ready, 7), Revision: rev(13)}), others},
		"in a listing":                            {after(listed), others},
		"in two listings":                         {after(listed, Snapshot{At: at(6), Targets: listed.Targets, Revision: rev(13)}), others},
		"in a peer's changes":                     {after(Delta{Digest: view(removed...).Digest(), Changes: []Event{change(6)}, Revision: rev(12)}), others},
		"removed at a peer, then a change":        {[]Event{Withdrawals{At: at(2), Targets: []WithdrawnTarget{{Target: reported("a", 1, Ready, 5), Revision: rev(11)}}}, Snapshot{At: at(3), Targets: first.Targets[1:], Revision: rev(11)}, change(6)}, others},
		"verified":                                {after(change(6), verified), both},
		"verified, then listed":                   {after(change(6), verified, Snapshot{At: at(6), Targets: listed.Targets, Revision: rev(13)}), both},
		"verified, then changed":                  {after(change(6), verified, Changed{At: at(6), Target: reported("a", 1, Ready, 7), Revision: rev(13)}), both},
		"another one verified":                    {after(change(6), Verified{Target: reported("a", 2, Ready, 1)}), others},
		"verified, removed, back":                 {after(change(6), verified, Removed{At: at(6), ID: "a", Revision: rev(13)}, Changed{At: at(7), Target: reported("a", 1, Ready, 7), Revision: rev(14)}), others},
		"verified after it said that it leaves":   {after(change(6), Leaving{At: at(6), Target: reported("a", 1, Ready, 6)}, verified), others},
		"verified when it is gone":                {after(change(6), Removed{At: at(6), ID: "a", Revision: rev(13)}, verified), others},
		"verified when it drains":                 {after(change(6), Changed{At: at(6), Target: reported("a", 1, Draining, 7), Revision: rev(13)}, verified), others},
		"the entry stays":                         {after(change(6), Tick{At: at(5).Add(withdrawnTime)}), both},
		"the next incarnation":                    {after(Changed{At: at(5), Target: reported("a", 2, Ready, 1), Revision: rev(12)}), []string{"a/2", "b/1"}},
		"replaced, then back":                     {[]Event{first, Changed{At: at(1), Target: reported("a", 2, Ready, 1), Revision: rev(11)}, Changed{At: at(2), Target: reported("a", 1, Ready, 6), Revision: rev(12)}, Changed{At: at(3), Target: reported("a", 2, Ready, 2), Revision: rev(13)}}, []string{"a/2", "b/1"}},
		"lapsed in an outage, back after long":    {[]Event{first, RegistryLost{At: at(1)}, RegistryRecovered{At: at(9)}, Removed{At: at(9.1), ID: "a", Revision: rev(11)}, Tick{At: at(12)}, Changed{At: at(13), Target: reported("a", 1, Ready, 7), Revision: rev(12)}}, others},
		"lapsed in an outage, back in time":       {[]Event{first, RegistryLost{At: at(1)}, RegistryRecovered{At: at(9)}, Removed{At: at(9.1), ID: "a", Revision: rev(11)}, Changed{At: at(10), Target: reported("a", 1, Ready, 7), Revision: rev(12)}}, both},
		"written again after the store's restore": {after(Snapshot{At: at(3), Targets: first.Targets[1:], Revision: vanillalug.NewStoreRevision(1, 5)}, Changed{At: at(4), Target: reported("a", 1, Ready, 7), Revision: vanillalug.NewStoreRevision(1, 6)}), both},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, usableIncarnations(view(tt.events...)))
		})
	}
}

// TestReturnedIsReportedOnce checks the effects of an entry that is back.
func TestReturnedIsReportedOnce(t *testing.T) {
	v := NewView()
	a := reported("a", 1, Ready, 5)
	v.Handle(Snapshot{At: start, Targets: []Target{a}, Revision: rev(1)})
	v.Handle(Removed{At: start, ID: "a", Revision: rev(2)})
	require.Equal(t, []Effect{Returned{Target: a}}, v.Handle(Changed{At: start, Target: a, Revision: rev(3)}))
	require.True(t, v.AwaitsVerification(a))
	require.Empty(t, v.Handle(Changed{At: start, Target: a, Revision: rev(4)}))
	require.Equal(t, []Effect{Joined{Target: a}}, v.Handle(Verified{Target: a}))
	require.False(t, v.AwaitsVerification(a))
}
