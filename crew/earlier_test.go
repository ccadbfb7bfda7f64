package crew

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example"
	"vanillalug.example/lugtest"
)

// TestEarlierRun guards against an entry of an earlier run of a target, which the registry performs late, that puts a
// target back in use while it leaves or has gone, or under the software version that it had before. A target whose
// clock was set back before it started again must be used in time.
func TestEarlierRun(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	first := Snapshot{At: start, Targets: []Target{reported("a", 1, Ready, 5), reported("b", 1, Ready, 5)}, Revision: rev(10)}
	restarted := Changed{At: at(1), Target: reported("a", 2, Ready, 1), Revision: rev(11)}
	drains := Changed{At: at(2), Target: reported("a", 2, Draining, 2), Revision: rev(12)}
	leaves := Leaving{At: at(2), Target: reported("a", 2, Ready, 1)}
	removed := Removed{At: at(3), ID: "a", Revision: rev(13)}
	late := Changed{At: at(4), Target: reported("a", 1, Ready, 6), Revision: rev(14)}
	listed := Snapshot{At: at(4), Targets: []Target{reported("a", 1, Ready, 6), reported("b", 1, Ready, 5)}, Revision: rev(14)}
	again := Changed{At: at(5), Target: reported("a", 2, Ready, 3), Revision: rev(15)}
	verified := Verified{Target: reported("a", 1, Ready, 6)}
	stays := Tick{At: at(4).Add(withdrawnTime)}
	told := Withdrawals{At: at(3), Targets: []WithdrawnTarget{{Target: reported("a", 2, Ready, 2), Revision: rev(13), Final: true}}}
	older, newer := reported("a", 1, Ready, 6), reported("a", 2, Ready, 1)
	WithSoftwareVersion("v1")(&older)
	WithSoftwareVersion("v2")(&newer)
	moved := NewTarget("a", "s", "10.9.9.9:1", WithStartMillis(2), WithState(Ready), WithSequence(3))
	noStart := reported("a", 0, Ready, 9)
	view := func(events ...Event) *View {
		v := NewView()
		for _, e := range events {
			v.Handle(e)
		}
		return v
	}
	delta := func(before ...Event) Event {
		v := view(before...)
		return Delta{Digest: v.Digest(), Changes: []Event{late}, Revision: rev(14)}
	}
	others := []string{"b/1"}
	tests := map[string]struct {
		events []Event
		want   []string
	}{
		"the later run serves":              {[]Event{first, restarted, late}, others},
		"the later run drains":              {[]Event{first, restarted, drains, late}, others},
		"the later run says that it leaves": {[]Event{first, restarted, leaves, late}, others},
		"the later run has left":            {[]Event{first, restarted, drains, removed, late}, others},
		"the later run was removed":         {[]Event{first, restarted, removed, late}, others},
		"listed":                            {[]Event{first, restarted, drains, listed}, others},
		"listed after the removal":          {[]Event{first, restarted, removed, listed}, others},
		"in a peer's changes":               {[]Event{first, restarted, drains, delta(first, restarted, drains)}, others},
		"an entry that changes":             {[]Event{first, restarted, late, Changed{At: at(4.5), Target: reported("a", 1, Ready, 7), Revision: rev(15)}}, others},
		"an entry that is listed then":      {[]Event{first, restarted, late, Snapshot{At: at(4.5), Targets: listed.Targets, Revision: rev(15)}}, others},
		"unconfirmed at a peer":             {[]Event{first, restarted, RegistryLost{At: at(3)}, Snapshot{At: at(4), Targets: first.Targets[1:], Unconfirmed: []UnconfirmedTarget{{Target: reported("a", 1, Ready, 5), TimeLeft: time.Second}}, Revision: rev(14)}}, others},
		"the peer knows the later run":      {[]Event{told, first, late}, others},
		"the peer says so later":            {[]Event{first, told}, others},
		"announced before its entry":        {[]Event{first, leaves}, others},
		"then the later run's entry":        {[]Event{first, restarted, late, again}, []string{"a/2", "b/1"}},
		"then the entry of one that left":   {[]Event{first, restarted, drains, late, again}, others},
		"then the next run":                 {[]Event{first, restarted, drains, late, Changed{At: at(5), Target: reported("a", 3, Ready, 1), Revision: rev(15)}}, []string{"a/3", "b/1"}},
		"the clock was set back":            {[]Event{first, restarted, late, verified}, []string{"a/1", "b/1"}},
		"the clock was set back, it left":   {[]Event{first, restarted, drains, removed, late, verified}, []string{"a/1", "b/1"}},
		"verified, then changed":            {[]Event{first, restarted, late, verified, Changed{At: at(6), Target: reported("a", 1, Ready, 7), Revision: rev(16)}}, []string{"a/1", "b/1"}},
		"verified, then listed":             {[]Event{first, restarted, late, verified, Snapshot{At: at(6), Targets: listed.Targets, Revision: rev(16)}}, []string{"a/1", "b/1"}},
		"verified as the later run":         {[]Event{first, restarted, late, Verified{Target: reported("a", 2, Ready, 1)}}, others},
		"the entry stays":                   {[]Event{first, restarted, late, stays}, []string{"a/1", "b/1"}},
		"the entry stays, then changes":     {[]Event{first, restarted, late, stays, Changed{At: at(20), Target: reported("a", 1, Ready, 9), Revision: rev(20)}}, []string{"a/1", "b/1"}},
		"the earlier run drained":           {[]Event{first, Changed{At: at(0.5), Target: reported("a", 1, Draining, 5), Revision: rev(11)}, Changed{At: at(1), Target: reported("a", 2, Ready, 1), Revision: rev(12)}, late, stays}, others},
		"it says that it leaves":            {[]Event{first, restarted, late, Leaving{At: at(4.5), Target: reported("a", 1, Ready, 6)}, verified, stays}, others},
		"no start time":                     {[]Event{first, restarted, Changed{At: at(4), Target: noStart, Revision: rev(14)}}, others},
		"no start time before":              {[]Event{Snapshot{At: start, Targets: []Target{noStart, reported("b", 1, Ready, 5)}, Revision: rev(10)}, restarted}, []string{"a/2", "b/1"}},
		"equal start, after it drained":     {[]Event{first, restarted, drains, Changed{At: at(4), Target: moved, Revision: rev(14)}}, others},
		"equal start, another address":      {[]Event{first, restarted, Changed{At: at(4), Target: moved, Revision: rev(14)}}, []string{"a/2", "b/1"}},
		"another software version":          {[]Event{first, Changed{At: at(1), Target: newer, Revision: rev(11)}, Changed{At: at(4), Target: older, Revision: rev(14)}}, others},
		"a copy of the registry":            {[]Event{first, restarted, drains, removed, Snapshot{At: at(4), Targets: first.Targets, Revision: vanillalug.NewStoreRevision(1, 5)}}, others},
		"a store that is away":              {[]Event{first, restarted, drains, RegistryLost{At: at(3)}, RegistryRecovered{At: at(4)}, late}, others},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, usableIncarnations(view(tt.events...))) })
	}
}

// TestEarlierRunIsReportedOnce checks the effects of an entry of an earlier run, and that the later run joins again.
func TestEarlierRunIsReportedOnce(t *testing.T) {
	v := NewView()
	earlier, later := reported("a", 1, Ready, 5), reported("a", 2, Ready, 1)
	v.Handle(Snapshot{At: start, Targets: []Target{earlier}, Revision: rev(1)})
	v.Handle(Changed{At: start, Target: later, Revision: rev(2)})
	require.Equal(t, []Effect{Left{Target: later, Reason: "restarted"}, Returned{Target: earlier, Earlier: true}},
		v.Handle(Changed{At: start, Target: earlier, Revision: rev(3)}))
	require.True(t, v.AwaitsVerification(earlier))
	require.Empty(t, v.Handle(Changed{At: start, Target: earlier, Revision: rev(4)}))
	require.Equal(t, []Effect{Joined{Target: later}}, v.Handle(Changed{At: start, Target: later, Revision: rev(5)}))
	require.False(t, v.AwaitsVerification(earlier))
}

// TestEarlierRunInAnyOrder guards against views that differ in what takes work, or that use a run which one of them saw
// leaving, after they have heard of the same runs in different orders.
func TestEarlierRunInAnyOrder(t *testing.T) {
	lugtest.Check(t, "500", "1", func(t *rapid.T) {
		runs := int64(rapid.IntRange(2, 4).Draw(t, "runs"))
		leaving := int64(rapid.IntRange(1, int(runs)).Draw(t, "leaving"))
		var events []Event
		for n := int64(1); n <= runs; n++ {
			events = append(events, Changed{At: start, Target: reported("a", n, Ready, n)})
		}
		events = append(events, Leaving{At: start, Target: reported("a", leaving, Ready, leaving)})
		var views []*View
		for range 2 {
			v, newest, left := NewView(), int64(0), int64(0)
			for i, e := range rapid.Permutation(events).Draw(t, "order") {
				switch c := e.(type) {
				case Changed:
					c.Revision = rev(uint64(i + 1))
					newest, e = max(newest, c.Target.startMillis), c
				case Leaving:
					newest, left = max(newest, leaving), leaving
				}
				v.Handle(e)
				for _, x := range v.Usable()["s"] {
					require.Equal(t, newest, x.startMillis, "the latest run that is known")
					require.NotEqual(t, left, x.startMillis)
				}
			}
			v.Handle(Changed{At: start, Target: reported("a", runs, Ready, runs), Revision: rev(100)})
			views = append(views, v)
		}
		require.Equal(t, views[0].Digest(), views[1].Digest())
		require.Equal(t, usableIncarnations(views[0]), usableIncarnations(views[1]))
	})
}
