package defect

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRequestIsBlockedAfterItCameAgain checks what counts as evidence about a whole request:
// crashes of several targets, of which one came after another, and no response since.
func TestRequestIsBlockedAfterItCameAgain(t *testing.T) {
	const bad, other = Request(1), Request(2)
	crash := func(target TargetKey, sent, at time.Duration, subjects ...Subject) func(*Tracker) {
		return func(tr *Tracker) { tr.RecordCrash(subjects, target, after(sent), after(at)) }
	}
	complete := func(at time.Duration) func(*Tracker) {
		return func(tr *Tracker) { tr.RecordSound([]Subject{bad}, after(at)) }
	}
	alive := func(target TargetKey, sent time.Duration) func(*Tracker) {
		return func(tr *Tracker) { tr.RecordAlive(target, after(sent)) }
	}
	three := []func(*Tracker){crash(1, 0, 10, bad), crash(2, 11, 20, bad), crash(3, 21, 30, bad)}
	tests := map[string]struct {
		events             []func(*Tracker)
		blocked, mayResend bool
	}{
		"one crash":                           {three[:1], false, true},
		"sent on, and another crash":          {three[:2], false, false},
		"it came a third time":                {three, true, false},
		"three targets failed at once":        {[]func(*Tracker){crash(1, 0, 10, bad), crash(2, 1, 10, bad), crash(3, 9, 11, bad)}, false, true},
		"it came once more after two":         {[]func(*Tracker){crash(1, 0, 10, bad), crash(2, 1, 10, bad), crash(3, 12, 20, bad)}, false, false},
		"it came once more after three":       {[]func(*Tracker){crash(1, 0, 10, bad), crash(2, 1, 10, bad), crash(3, 9, 11, bad), crash(4, 12, 20, bad)}, true, false},
		"a response between":                  {[]func(*Tracker){three[0], three[1], complete(20), three[2]}, false, true},
		"a response since":                    {append(three[:3:3], complete(40)), false, true},
		"a target responds to a later one":    {append(three[:3:3], alive(2, 40)), false, false},
		"a target responds to an earlier one": {append(three[:3:3], alive(2, 15)), true, false},
		"all of them respond":                 {append(three[:3:3], alive(1, 40), alive(2, 40), alive(3, 40)), false, true},
		"a target ends after it responded":    {[]func(*Tracker){three[0], three[1], alive(2, 30), crash(2, 31, 40, bad), crash(3, 41, 50, bad)}, true, false},
		"in flight beside a blocked one":      {[]func(*Tracker){crash(1, 0, 10, other), crash(2, 11, 20, other), crash(3, 21, 30, other), three[0], three[1], three[2]}, false, true},
		"a part with the same key":            {[]func(*Tracker){crash(1, 0, 10, Part(bad)), crash(2, 11, 20, Part(bad)), crash(3, 21, 30, Part(bad))}, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker()
			for _, e := range tt.events {
				e(tr)
			}
			_, blocked := tr.Blocked([]Subject{bad}, after(time.Second))
			require.Equal(t, tt.blocked, blocked)
			require.Equal(t, tt.mayResend, tr.MayResend([]Subject{bad}, after(time.Second)))
		})
	}
}

// TestReportsOfRequests checks that what routers tell each other decides as if one of them
// had seen all, and that a target known to live is no evidence when a late report comes.
func TestReportsOfRequests(t *testing.T) {
	const bad = Request(1)
	a, b := NewTracker(), NewTracker()
	a.RecordCrash([]Subject{bad}, 1, start, after(100*time.Millisecond))
	a.RecordCrash([]Subject{bad}, 2, after(110*time.Millisecond), after(200*time.Millisecond))
	require.Empty(t, b.RecordFromPeer(a.Reports(after(300*time.Millisecond)), after(310*time.Millisecond)))
	require.False(t, b.MayResend([]Subject{bad}, after(time.Second)))
	blocked := b.RecordCrash([]Subject{bad}, 3, after(time.Second), after(2*time.Second))
	require.Equal(t, []Subject{bad}, blocked)
	require.Equal(t, []Subject{bad}, a.RecordFromPeer(b.Reports(after(2*time.Second)), after(2*time.Second)))

	late := b.Reports(after(3 * time.Second))
	a.RecordAlive(3, after(2100*time.Millisecond))
	require.False(t, blockedAt(a, bad, 3*time.Second))
	delay := 500 * time.Millisecond
	require.Empty(t, a.RecordFromPeer(late, after(3*time.Second+delay)), "by so much the crash seems later")
	require.False(t, blockedAt(a, bad, 4*time.Second))
}

func blockedAt(tr *Tracker, s Subject, at time.Duration) bool {
	_, blocked := tr.Blocked([]Subject{s}, after(at))
	return blocked
}

// soundRequests is the number of different requests that come again and again.
const soundRequests = 30

// simulatedService has targets that fail by themselves and crash on the request 0.
type simulatedService struct {
	rnd       *rand.Rand
	tracker   *Tracker
	now       time.Time
	downUntil []time.Time
	runs      []int
	inFlight  []simulatedSend
	// deadlyCrashes, sound and rejected count crashes on the request 0, other requests
	// and those of them that were rejected.
	deadlyCrashes, sound, rejected int
}

type simulatedSend struct {
	subject   Subject
	target    int
	sent, end time.Time
}

func (s *simulatedService) incarnation(target int) TargetKey {
	return TargetKey(target<<20 | s.runs[target])
}

func (s *simulatedService) down(target int) bool { return s.now.Before(s.downUntil[target]) }

// crash ends a target and all that it has.
func (s *simulatedService) crash(target int) {
	if s.down(target) {
		return
	}
	var left []simulatedSend
	for _, r := range s.inFlight {
		if r.target != target {
			left = append(left, r)
			continue
		}
		s.tracker.RecordCrash([]Subject{r.subject}, s.incarnation(target), r.sent, s.now)
	}
	s.inFlight = left
	s.runs[target]++
	s.downUntil[target] = s.now.Add(3 * time.Second)
}

// finish ends the requests whose time has come.
func (s *simulatedService) finish() {
	for _, r := range append([]simulatedSend(nil), s.inFlight...) {
		if r.subject == Request(0) && !s.now.Before(r.end) && !s.down(r.target) {
			s.deadlyCrashes++
			s.crash(r.target)
		}
	}
	var left []simulatedSend
	for _, r := range s.inFlight {
		if s.now.Before(r.end) {
			left = append(left, r)
			continue
		}
		s.tracker.RecordAlive(s.incarnation(r.target), r.sent)
		s.tracker.RecordSound([]Subject{r.subject}, s.now)
	}
	s.inFlight = left
}

func (s *simulatedService) send(subject Subject) {
	target := s.rnd.IntN(len(s.runs))
	if s.down(target) {
		return
	}
	blocked := !admits(s.tracker, []Subject{subject}, 1, s.rnd.Uint64(), s.now)
	if subject != Request(0) {
		s.sound++
		if blocked {
			s.rejected++
		}
	}
	if !blocked {
		end := s.now.Add(time.Duration(30+s.rnd.IntN(100)) * time.Millisecond)
		s.inFlight = append(s.inFlight, simulatedSend{subject, target, s.now, end})
	}
}

// TestPlainFailuresBlockNoRequest checks on a simulated service that targets that fail by
// themselves, alone or together and often, block hardly any of the requests that come again
// and again, and that a request that crashes every target is blocked after few crashes.
func TestPlainFailuresBlockNoRequest(t *testing.T) {
	tests := map[string]struct {
		targets int
		// failures are crashes of other causes a second, of so many targets at once.
		failures float64
		atOnce   int
		deadly   bool
	}{
		"one target at a time":        {9, 1, 1, false},
		"half of them":                {9, 0.5, 4, false},
		"all of three":                {3, 0.3, 3, false},
		"beside a deadly request":     {9, 0.5, 1, true},
		"deadly, with three targets":  {3, 0, 0, true},
		"deadly, with many failures":  {40, 2, 3, true},
		"deadly, with many of a time": {40, 0.5, 20, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				s := &simulatedService{
					rnd: rand.New(rand.NewPCG(seed, 2)), tracker: NewTracker(), now: start,
					downUntil: make([]time.Time, tt.targets), runs: make([]int, tt.targets),
				}
				for s.now.Sub(start) < time.Minute {
					s.now = s.now.Add(10 * time.Millisecond)
					s.finish()
					if s.rnd.Float64() < tt.failures/100 {
						for range tt.atOnce {
							s.crash(s.rnd.IntN(tt.targets))
						}
					}
					subject := Request(1 + s.rnd.IntN(soundRequests))
					if tt.deadly && s.rnd.IntN(30) == 0 {
						subject = 0
					}
					s.send(subject)
				}
				require.LessOrEqual(t, s.deadlyCrashes, CrashesToBlock+3, "seed %d", seed)
				require.LessOrEqual(t, s.rejected*1000, s.sound, "one in a thousand, seed %d", seed)
			}
		})
	}
}
