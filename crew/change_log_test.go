package crew

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"vanillalug.example/lugtest"
)

// TestOneTransaction: changes that share a revision are all believed.
func TestOneTransaction(t *testing.T) {
	b := NewView()
	b.Handle(Snapshot{Targets: []Target{target("a", 1, Ready), target("b", 1, Ready), target("c", 1, Ready)}, Revision: 1})
	b.Handle(Batch{Changes: []Event{Removed{At: start, ID: "a", Revision: 2}, Removed{At: start, ID: "b", Revision: 2}}})
	require.Equal(t, []string{"c/1"}, ids(b))
	b.Handle(Batch{Changes: []Event{Changed{Target: target("a", 1, Ready), Revision: 2}}})
	require.Equal(t, []string{"c/1"}, ids(b), "old news changes nothing")
}

// TestCaughtUp: a peer's changes are believed by a book only that still
// believes what they start from.
func TestCaughtUp(t *testing.T) {
	b := NewView()
	b.Handle(Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 1})
	change := []Event{Changed{Target: target("b", 1, Ready), Revision: 7}}
	b.Handle(Delta{Digest: b.Digest() + 1, Changes: change, Revision: 9})
	require.Equal(t, []string{"a/1"}, ids(b))
	require.Equal(t, uint64(1), b.Revision())
	b.Handle(Delta{Digest: b.Digest(), Changes: change, Revision: 9})
	require.Equal(t, []string{"a/1", "b/1"}, ids(b))
	require.Equal(t, uint64(9), b.Revision())
	b.Handle(Delta{Digest: b.Digest(), Revision: 5})
	require.Equal(t, uint64(9), b.Revision())
}

// changeOf draws a change of one of a few targets.
func changeOf(t *rapid.T, revision uint64, at time.Time) Event {
	id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
	if rapid.Bool().Draw(t, "removed") {
		return Removed{At: at, ID: id, Revision: revision}
	}
	state := rapid.SampledFrom([]State{Ready, Draining}).Draw(t, "state")
	return Changed{At: at, Target: target(id, int64(rapid.IntRange(1, 3).Draw(t, "born")), state), Revision: revision}
}

// TestSinceLeadsToTheSameBeliefs: whatever a book that is behind is told as
// changes, it believes the same as the one that told them afterwards.
func TestSinceLeadsToTheSameBeliefs(t *testing.T) {
	lugtest.Check(t, "500", "1", func(t *rapid.T) {
		ahead, behind := NewView(), NewView()
		first := Snapshot{Targets: []Target{target("a", 1, Ready), target("b", 1, Draining)}, Revision: 1}
		ahead.Handle(first)
		behind.Handle(first)
		revision, now := uint64(1), start
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
				require.Equal(t, ahead.Usable(), behind.Usable())
				require.Equal(t, ahead.Digest(), behind.Digest())
				require.Equal(t, ahead.Revision(), behind.Revision())
			case 5:
				revision++
				change := changeOf(t, revision, now)
				ahead.Handle(change)
				behind.Handle(change)
			default:
				revision++
				ahead.Handle(changeOf(t, revision, now))
			}
		}
	})
}

// TestTrailIsBounded: a book remembers its newest changes only.
func TestTrailIsBounded(t *testing.T) {
	b := NewView()
	b.Handle(Snapshot{Targets: []Target{target("a", 1, Ready)}, Revision: 1})
	digest := b.Digest()
	for i := range uint64(trailLength) {
		b.Handle(Changed{Target: target("a", int64(i+2), Ready), Revision: i + 2})
	}
	changes, ok := b.ChangesSince(digest, 1)
	require.True(t, ok)
	require.Len(t, changes, trailLength)
	b.Handle(Changed{Target: target("b", 1, Ready), Revision: 1000})
	_, ok = b.ChangesSince(digest, 1)
	require.False(t, ok)
}
