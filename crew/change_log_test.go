package crew

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

// TestBatchWithOneRevision checks that all changes of a batch are applied, even
// if they share a revision.
func TestBatchWithOneRevision(t *testing.T) {
	v := NewView()
	v.Handle(Snapshot{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready), target("c", 1, Ready)}, Revision: rev(1)})
	v.Handle(Batch{Changes: []Event{Removed{At: start, ID: "a", Revision: rev(2)}, Removed{At: start, ID: "b", Revision: rev(2)}}})
	require.Equal(t, []string{"c/1"}, usableIncarnations(v))
	v.Handle(Batch{Changes: []Event{Changed{Target: target("a", 1, Ready), Revision: rev(2)}}})
	require.Equal(t, []string{"c/1"}, usableIncarnations(v), "changes with old revisions are ignored")
}

// TestDelta checks that a peer's changes are applied only to a view that still
// has the digest they start from.
func TestDelta(t *testing.T) {
	v := NewView()
	v.Handle(Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(1)})
	change := []Event{Changed{Target: target("b", 1, Ready), Revision: rev(7)}}
	v.Handle(Delta{Digest: v.Digest() + 1, Changes: change, Revision: rev(9)})
	require.Equal(t, []string{"a/1"}, usableIncarnations(v))
	require.Equal(t, rev(1), v.Revision())
	v.Handle(Delta{Digest: v.Digest(), Changes: change, Revision: rev(9)})
	require.Equal(t, []string{"a/1", "b/1"}, usableIncarnations(v))
	require.Equal(t, rev(9), v.Revision())
	v.Handle(Delta{Digest: v.Digest(), Revision: rev(5)})
	require.Equal(t, rev(9), v.Revision())
}

// changeOf draws a change of one of a few targets.
func drawChange(t *rapid.T, revision uint64, at time.Time) Event {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
	if rapid.Bool().Draw(t, "removed") {
		return Removed{At: at, ID: id, Revision: rev(revision)}
	}
	state := rapid.SampledFrom([]State{Ready, Draining}).Draw(t, "state")
	return Changed{At: at, Target: target(id, int64(rapid.IntRange(1, 3).Draw(t, "start")), state), Revision: rev(revision)}
}

// TestChangesSinceConverges checks that a view that is behind equals the view
// that sends it changes once it has applied them.
func TestChangesSinceConverges(t *testing.T) {
	lugtest.Check(t, "500", "1", func(t *rapid.T) {
		ahead, behind := NewView(), NewView()
		first := Snapshot{Targets: []Target{target("a", 1, Ready), target("b", 1, Draining)}, Revision: rev(1)}
		ahead.Handle(first)
		behind.Handle(first)
		revision, now := uint64(1), start
		// Each router asks targets that are back by itself; one that drains says so.
		drained := map[string]bool{"b/1": true}
		verify := func(v *View) {
			for _, x := range v.All() {
				if drained[x.Incarnation()] && v.AwaitsVerification(x) {
					v.Handle(Leaving{At: now, Target: x})
				}
			}
			verifyAll(v)
		}
		draw := func() Event {
			change := drawChange(t, revision, now)
			if c, ok := change.(Changed); ok && c.Target.State() == Draining {
				drained[c.Target.Incarnation()] = true
			}
			return change
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(500 * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				ahead.Handle(RegistryLost{At: now})
			case 1:
				ahead.Handle(RegistryRecovered{At: now})
			case 2:
				ahead.Handle(Tick{At: now})
			case 3, 4:
				changes, ok := ahead.ChangesSince(behind.Digest(), behind.Revision())
				if !ok {
					continue
				}
				behind.Handle(Delta{Digest: behind.Digest(), Changes: changes, Revision: ahead.Revision()})
				verify(ahead)
				verify(behind)
				require.Equal(t, ahead.Usable(), behind.Usable())
				require.Equal(t, ahead.Digest(), behind.Digest())
				require.Equal(t, ahead.Revision(), behind.Revision())
			case 5:
				revision++
				change := draw()
				ahead.Handle(change)
				behind.Handle(change)
			default:
				revision++
				ahead.Handle(draw())
			}
		}
	})
}

// TestPeerLearnsThatTargetDrained guards against a peer that uses a target which it never saw drain, as it gets a late
// heartbeat of it as that came.
func TestPeerLearnsThatTargetDrained(t *testing.T) {
	ahead, behind := NewView(), NewView()
	drained, other := target("a", 2, Draining), target("a", 1, Ready)
	ahead.Handle(Changed{At: start, Target: drained, Revision: rev(1)})
	ahead.Handle(Changed{At: start, Target: other, Revision: rev(2)})
	behind.Handle(Changed{At: start, Target: other, Revision: rev(2)})
	ahead.Handle(Changed{At: start, Target: target("a", 2, Ready), Revision: rev(3)})
	changes, ok := ahead.ChangesSince(behind.Digest(), behind.Revision())
	require.True(t, ok)
	behind.Handle(Delta{Digest: behind.Digest(), Changes: changes, Revision: ahead.Revision()})
	require.Empty(t, ahead.Usable())
	require.Empty(t, behind.Usable())
	require.Equal(t, ahead.Digest(), behind.Digest())
}

// TestChangeLogIsBounded checks that a view keeps only its newest changes.
func TestChangeLogIsBounded(t *testing.T) {
	v := NewView()
	v.Handle(Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: rev(1)})
	digest := v.Digest()
	for i := range uint64(changeLogSize) {
		v.Handle(Changed{Target: target("a", int64(i+2), Ready), Revision: rev(i + 2)})
	}
	changes, ok := v.ChangesSince(digest, rev(1))
	require.True(t, ok)
	require.Len(t, changes, changeLogSize)
	v.Handle(Changed{Target: target("b", 1, Ready), Revision: rev(1000)})
	_, ok = v.ChangesSince(digest, rev(1))
	require.False(t, ok)
}
