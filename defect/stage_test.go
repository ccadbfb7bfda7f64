package defect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCrashAtAnotherStage guards against a part that crashes targets before the head of the response or
// long after it never being found, and against targets that fail together blocking what they all had.
func TestCrashAtAnotherStage(t *testing.T) {
	const bad = Part(1)
	crash := func(stage Stage, target TargetKey, sent, at time.Duration) func(*Tracker) {
		return func(tr *Tracker) {
			tr.RecordCrashAt(stage, []Subject{bad}, target, after(sent*time.Second), after(at*time.Second))
		}
	}
	progress := func(at time.Duration) func(*Tracker) {
		return func(tr *Tracker) { tr.RecordProgress([]Subject{bad}, after(at*time.Second)) }
	}
	complete := func(at time.Duration) func(*Tracker) {
		return func(tr *Tracker) { tr.RecordSound([]Subject{bad}, after(at*time.Second)) }
	}
	again := func(s Stage) []func(*Tracker) {
		return []func(*Tracker){crash(s, 1, 0, 2), crash(s, 2, 3, 5), crash(s, 3, 6, 8)}
	}
	atOnce := func(s Stage) []func(*Tracker) {
		return []func(*Tracker){crash(s, 1, 0, 8), crash(s, 2, 1, 8), crash(s, 3, 2, 8), crash(s, 4, 3, 8)}
	}
	tests := map[string]struct {
		events  []func(*Tracker)
		blocked bool
	}{
		"head lost, again and again":              {again(Waiting), true},
		"head lost, at once, no response since":   {atOnce(Waiting), true},
		"head lost, at once, others ran well":     {append(atOnce(Waiting), progress(9)), false},
		"head lost, at once, ran well before":     {append([]func(*Tracker){progress(7)}, atOnce(Waiting)...), true},
		"head lost, at once, few":                 {atOnce(Waiting)[:3], false},
		"head lost, at once, and one more":        {append(atOnce(Waiting), crash(Waiting, 5, 9, 10)), true},
		"head lost, ran well since":               {append(again(Waiting), progress(9)), false},
		"late, again and again":                   {again(Running), true},
		"late, at once":                           {atOnce(Running), false},
		"late, others run well for a while":       {append(again(Running), progress(9)), true},
		"late, a response was completed":          {append(again(Running), complete(9)), false},
		"at the beginning, ran well for a while":  {append(again(Beginning), progress(9)), false},
		"at the beginning, at once":               {atOnce(Beginning), true},
		"late, and the same target at once begun": {[]func(*Tracker){crash(Running, 1, 0, 8), crash(Beginning, 1, 1, 8), crash(Beginning, 2, 1, 8), crash(Beginning, 3, 1, 8)}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tr, peer := NewTracker(), NewTracker()
			for _, e := range tt.events {
				e(tr)
			}
			_, blocked := tr.Blocked([]Subject{bad}, after(11*time.Second))
			require.Equal(t, tt.blocked, blocked)
			peer.RecordFromPeer(tr.Reports(after(11*time.Second)), after(12*time.Second))
			_, blocked = peer.Blocked([]Subject{bad}, after(12*time.Second))
			require.Equal(t, tt.blocked, blocked, "a peer")
		})
	}
}

// TestLateReportIsNoNewRound guards against targets that fail together counting as crashes one after the
// other, as reports of them arrive one after the other.
func TestLateReportIsNoNewRound(t *testing.T) {
	const part = Part(1)
	tr := NewTracker()
	for i := range TargetKey(6) {
		peer := NewTracker()
		peer.RecordCrashAt(Waiting, []Subject{part}, i, start, after(100*time.Millisecond))
		delay := time.Duration(i) * 150 * time.Millisecond
		tr.RecordFromPeer(peer.Reports(after(100*time.Millisecond)), after(100*time.Millisecond+delay))
	}
	_, blocked := tr.Blocked([]Subject{part}, after(time.Second))
	require.False(t, blocked)
	tr.RecordProgress([]Subject{part}, after(time.Second))
	_, blocked = tr.Blocked([]Subject{part}, after(3*time.Second))
	require.False(t, blocked)
}

// TestDeadlyPartIsAmongNews guards against a message to peers that has no room for the part that crashes
// targets: each router has seen one crash of a target with many streams.
func TestDeadlyPartIsAmongNews(t *testing.T) {
	const bad, streams = Part(1 << 40), 100
	told := NewTracker()
	for router := range 3 {
		tr := NewTracker()
		subjects := []Subject{bad}
		for i := range streams {
			subjects = append(subjects, Part(1000*(router+1)+i), Request(1000*(router+1)+i))
		}
		tr.RecordCrash(subjects, TargetKey(router), start, start)
		for i := range 15 {
			now := after(time.Duration(i) * 200 * time.Millisecond)
			told.RecordFromPeer(tr.Reports(now), now)
		}
	}
	_, blocked := told.Blocked([]Subject{bad}, after(newsTime))
	require.True(t, blocked)
}

// TestTrialsOfWhatMayBeSound guards against two parts that each seem to explain the crashes of the other
// letting all requests through, and against a part that is fixed being rejected for long.
func TestTrialsOfWhatMayBeSound(t *testing.T) {
	const one, other = Part(1), Part(2)
	tr := NewTracker()
	for target := range TargetKey(3) {
		tr.RecordCrash([]Subject{one, other}, target, start, after(time.Second/2))
	}
	let := func(at time.Duration, random uint64, subjects ...Subject) bool {
		return admits(tr, subjects, 18, random, after(at))
	}
	require.False(t, let(time.Second, 0, one, other), "nothing explains both")
	require.True(t, let(time.Second, 5, one), "the other may be the cause")
	require.False(t, let(time.Second+trialPause/2, 5, one), "one at a time")
	tr.RecordCrash([]Subject{one}, 9, after(time.Second), after(time.Second+trialPause/2))
	require.False(t, let(time.Minute/2, 0, one), "nothing explains it any more")
	require.False(t, let(time.Minute, 0, one), "too soon, as it came again")
	require.False(t, let(3*time.Minute, 1, one), "a trial at one router in as many as there are")
	require.True(t, let(3*time.Minute, 0, one))
	require.False(t, let(3*time.Minute+trialPause/2, 0, one))
	tr.RecordSound([]Subject{one}, after(3*time.Minute+trialPause))
	require.True(t, let(3*time.Minute+2*trialPause, 1, one))
}
