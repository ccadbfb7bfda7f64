package defect

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 3, 4, 9, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// TestPartIsBlockedAfterCrashes checks what counts as evidence about a part.
func TestPartIsBlockedAfterCrashes(t *testing.T) {
	const bad, other = Part(1), Part(2)
	crash := func(target TargetKey, at time.Duration, parts ...Subject) func(*Tracker) {
		return func(tr *Tracker) { tr.RecordCrash(parts, target, after(at), after(at)) }
	}
	complete := func(at time.Duration, parts ...Subject) func(*Tracker) {
		return func(tr *Tracker) { tr.RecordSound(parts, after(at)) }
	}
	tests := map[string]struct {
		events    []func(*Tracker)
		at        time.Duration
		blocked   bool
		mayResend bool
	}{
		"nothing happened":         {nil, 0, false, true},
		"one crash":                {[]func(*Tracker){crash(1, 0, bad, other)}, time.Second, false, true},
		"two targets":              {[]func(*Tracker){crash(1, 0, bad), crash(2, time.Second, bad)}, time.Second, false, false},
		"three targets":            {[]func(*Tracker){crash(1, 0, bad), crash(2, 1, bad), crash(3, 2, bad)}, time.Second, true, false},
		"the same target thrice":   {[]func(*Tracker){crash(1, 0, bad), crash(1, 10*time.Second, bad), crash(1, 20*time.Second, bad)}, 21 * time.Second, false, true},
		"cleared between":          {[]func(*Tracker){crash(1, 0, bad), crash(2, 1, bad), complete(time.Second, bad), crash(3, 2*time.Second, bad)}, 3 * time.Second, false, true},
		"cleared after":            {[]func(*Tracker){crash(1, 0, bad), crash(2, 1, bad), crash(3, 2, bad), complete(time.Second, bad)}, 3 * time.Second, false, true},
		"another part cleared":     {[]func(*Tracker){crash(1, 0, bad, other), crash(2, 1, bad, other), complete(2, other), crash(3, 3, bad, other)}, time.Second, true, false},
		"the first crash expired":  {[]func(*Tracker){crash(1, 0, bad), crash(2, time.Minute, bad), crash(3, time.Minute, bad)}, evidenceTTL, false, false},
		"one more crash blocks it": {[]func(*Tracker){crash(1, 0, bad), crash(2, time.Minute, bad), crash(3, time.Minute, bad), crash(4, evidenceTTL, bad)}, evidenceTTL, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker()
			for _, e := range tt.events {
				e(tr)
			}
			_, blocked := tr.Blocked([]Subject{other + 1, bad}, after(tt.at))
			require.Equal(t, tt.blocked, blocked)
			require.Equal(t, tt.mayResend, tr.MayResend([]Subject{bad}, after(tt.at)))
			_, blocked = tr.Blocked([]Subject{other}, after(tt.at))
			require.False(t, blocked)
		})
	}
}

// TestReports checks that peers learn the evidence, and that repeated and late messages
// change nothing.
func TestReports(t *testing.T) {
	const part = Part(1)
	a, b := NewTracker(), NewTracker()
	require.Empty(t, a.Reports(start))
	a.RecordCrash([]Subject{part}, 1, start, start)
	b.RecordCrash([]Subject{part}, 2, start, start)
	require.Empty(t, b.RecordFromPeer(a.Reports(after(time.Second)), after(time.Second)))
	require.Equal(t, []Subject{part}, b.RecordCrash([]Subject{part}, 3, after(time.Second), after(time.Second)), "the third target")
	require.Equal(t, []Subject{part}, a.RecordFromPeer(b.Reports(after(2*time.Second)), after(2*time.Second)))
	for i := range 100 {
		now := after(time.Duration(i+3) * time.Second)
		require.Empty(t, a.RecordFromPeer(b.Reports(now), now.Add(200*time.Millisecond)))
		require.Empty(t, b.RecordFromPeer(a.Reports(now), now.Add(200*time.Millisecond)))
	}
	crashes, first := a.Crashes(part, after(time.Minute))
	require.Equal(t, 3, crashes)
	require.WithinDuration(t, start, first, time.Second, "the age doesn't shrink with each message")

	starting := NewTracker()
	require.Equal(t, []Subject{part}, starting.RecordFromPeer(a.Reports(after(2*time.Minute)), after(2*time.Minute)))

	stale := b.Reports(after(3 * time.Minute))
	require.Equal(t, []Subject{part}, a.RecordSound([]Subject{part}, after(3*time.Minute)))
	require.Empty(t, a.RecordFromPeer(stale, after(3*time.Minute+time.Second)), "older evidence is void")
	require.Empty(t, b.RecordFromPeer(a.Reports(after(3*time.Minute+time.Second)), after(3*time.Minute+time.Second)))
	_, blocked := b.Blocked([]Subject{part}, after(3*time.Minute+time.Second))
	require.False(t, blocked)
}

// TestAbsurdReports checks that reports that can't be true or are too many do no harm.
func TestAbsurdReports(t *testing.T) {
	tests := map[string]Report{
		"in the future": {Subject: Part(1), ClearedAge: -1, CompletedAge: -1, Crashes: []Crash{{1, -time.Hour, -time.Hour, Beginning, 0}, {2, -time.Hour, -time.Hour, Beginning, 0}, {3, -time.Hour, -time.Hour, Beginning, 0}}},
		"too old":       {Subject: Part(1), ClearedAge: -1, CompletedAge: -1, Crashes: []Crash{{1, time.Hour, time.Hour, Beginning, 0}, {2, time.Hour, time.Hour, Beginning, 0}, {3, time.Hour, time.Hour, Beginning, 0}}},
		"cleared since": {Subject: Part(1), ClearedAge: 0, Crashes: []Crash{{1, time.Second, time.Second, Beginning, 0}, {2, time.Second, time.Second, Beginning, 0}, {3, time.Second, time.Second, Beginning, 0}}},
	}
	for name, r := range tests {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker()
			require.Empty(t, tr.RecordFromPeer([]Report{r}, start))
			_, blocked := tr.Blocked([]Subject{Part(1)}, start)
			require.False(t, blocked)
		})
	}
	t.Run("many", func(t *testing.T) {
		tr := NewTracker()
		for i := range 3 * maxSubjects {
			r := Report{Subject: Part(i + 10), ClearedAge: -1, CompletedAge: -1, Crashes: []Crash{{TargetKey(i), 0, 0, Beginning, 0}}}
			tr.RecordFromPeer([]Report{r}, after(time.Duration(i)))
		}
		require.LessOrEqual(t, len(tr.records), maxSubjects)
		require.LessOrEqual(t, len(tr.Reports(after(time.Second))), MaxReports)
		for target := range TargetKey(3) {
			tr.RecordCrash([]Subject{Part(1)}, target, after(time.Second), after(time.Second))
		}
		_, blocked := tr.Blocked([]Subject{Part(1)}, after(time.Second))
		require.True(t, blocked, "real evidence has room")
	})
}

// TestPlainCrashesBlockNoPart guards against a part being blocked that all requests share, as
// targets that crash together for another reason had just begun with some of them: responses that
// ran well shortly before tell that the part is sound, at this router or at a peer.
func TestPlainCrashesBlockNoPart(t *testing.T) {
	const shared, firstOwn = Part(1), Part(10)
	tests := map[string]struct {
		sound   time.Duration
		atPeer  bool
		blocked bool
		// goesOn says that the response that ran well isn't complete yet.
		goesOn bool
	}{
		"goes on from before":          {sound: -soundTime / 2, goesOn: true},
		"goes on from before, at peer": {sound: -soundTime / 2, goesOn: true, atPeer: true},
		"ran well before":              {sound: -soundTime / 2},
		"ran well at a peer":           {sound: -soundTime / 2, atPeer: true},
		"ran well after":               {sound: soundTime / 2},
		"ran well after, at a peer":    {sound: soundTime / 2, atPeer: true},
		"ran well long before":         {sound: -3 * soundTime, blocked: true},
		"ran well long before at peer": {sound: -3 * soundTime, atPeer: true, blocked: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a, b := NewTracker(), NewTracker()
			witness := a
			if tt.atPeer {
				witness = b
			}
			record := witness.RecordSound
			if tt.goesOn {
				record = witness.RecordProgress
			}
			if tt.sound < 0 {
				record([]Subject{shared}, after(tt.sound))
			}
			for target := range TargetKey(3) {
				a.RecordCrash([]Subject{shared, firstOwn + Part(target)}, target, start, start)
			}
			if tt.sound > 0 {
				record([]Subject{shared}, after(tt.sound))
			}
			now := after(soundTime / 2)
			for range 2 {
				now = now.Add(10 * time.Millisecond)
				b.RecordFromPeer(a.Reports(now), now)
				now = now.Add(10 * time.Millisecond)
				a.RecordFromPeer(b.Reports(now), now)
			}
			for _, tr := range []*Tracker{a, b} {
				_, blocked := tr.Blocked([]Subject{shared}, now)
				require.Equal(t, tt.blocked, blocked)
				require.Equal(t, !tt.blocked, tr.MayResend([]Subject{shared}, now))
			}
		})
	}
}

// TestClearanceIsToldOnce guards against peers telling each other the same clearance without end,
// as it seems later each time by the time that the message was on its way.
func TestClearanceIsToldOnce(t *testing.T) {
	a, b := NewTracker(), NewTracker()
	a.RecordCrash([]Subject{Part(1)}, 1, start, start)
	b.RecordFromPeer(a.Reports(start), start)
	a.RecordSound([]Subject{Part(1)}, start)
	now := start
	for now.Before(after(3 * newsTime)) {
		reports := a.Reports(now)
		now = now.Add(50 * time.Millisecond)
		b.RecordFromPeer(reports, now)
		reports = b.Reports(now)
		now = now.Add(50 * time.Millisecond)
		a.RecordFromPeer(reports, now)
	}
	require.Empty(t, a.Reports(now))
	require.Empty(t, b.Reports(now))
}
