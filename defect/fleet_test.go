package defect

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleet simulates routers that send requests to targets. Requests have a part that all
// share, one of a topic and, some of them, the deadly part. A target crashes as it
// begins to write on that part, and at random; then all of its requests break off.
type fleet struct {
	rnd      *rand.Rand
	routers  []*Tracker
	down     map[TargetKey]time.Time
	starts   map[TargetKey]int
	now      time.Time
	inFlight []request
	pending  []message
	// crashes counts those on the deadly part, and lateCrashes those long after the
	// fifth of them.
	crashes, lateCrashes int
	fifthAt              time.Time
	sound, soundRejected int
}

type request struct {
	router  int
	parts   []Subject
	target  TargetKey
	begins  time.Time
	ends    time.Time
	attempt int
}

// incarnation returns the key of the current run of a target.
func (f *fleet) incarnation(target TargetKey) TargetKey {
	return target<<32 | TargetKey(f.starts[target])
}

// justBegun reports whether the head of the response was sent, but no event yet.
func (r request) justBegun(now time.Time) bool {
	return !now.Before(r.begins) && now.Before(r.begins.Add(eventTime))
}

type message struct {
	to      int
	arrives time.Time
	reports []Report
}

const (
	commonPart = Part(1)
	deadlyPart = Part(2)
	firstTopic = Part(100)
	topics     = 40
	step       = 20 * time.Millisecond
	// eventTime is the time from the head of a response to its first event.
	eventTime = 100 * time.Millisecond
	restart   = 3 * time.Second
	// contactTime is the limit for all routers to know.
	contactTime = 3 * time.Second
	maxDelay    = 600 * time.Millisecond
)

func (f *fleet) isDeadly(parts []Subject) bool {
	for _, p := range parts {
		if p == deadlyPart {
			return true
		}
	}
	return false
}

// settled reports whether all routers must have told the deadly part from the others.
func (f *fleet) settled() bool {
	return f.crashes == 0 || f.crashes >= 5 && f.now.Sub(f.fifthAt) > 2*contactTime
}

func (f *fleet) send(r request, targets int) {
	tracker := f.routers[r.router]
	if _, blocked := tracker.Blocked(r.parts, f.now); blocked {
		if !f.isDeadly(r.parts) && f.settled() {
			f.soundRejected++
		}
		return
	}
	for {
		r.target = TargetKey(f.rnd.IntN(targets))
		if f.now.After(f.down[r.target]) {
			break
		}
	}
	r.begins = f.now.Add(time.Duration(f.rnd.IntN(400)) * time.Millisecond)
	r.ends = r.begins.Add(eventTime + time.Duration(f.rnd.IntN(2000))*time.Millisecond)
	f.inFlight = append(f.inFlight, r)
}

// crash ends a target and all of its requests.
func (f *fleet) crash(target TargetKey, targets int) {
	f.down[target] = f.now.Add(restart)
	var left, broken []request
	for _, r := range f.inFlight {
		if r.target == target {
			broken = append(broken, r)
			continue
		}
		left = append(left, r)
	}
	f.inFlight = left
	defer func() { f.starts[target]++ }()
	for _, r := range broken {
		tracker := f.routers[r.router]
		if r.justBegun(f.now) {
			tracker.RecordCrash(r.parts, f.incarnation(target), r.begins, f.now)
		}
		if r.attempt == 0 && tracker.MayResend(r.parts, f.now) {
			r.attempt++
			f.send(r, targets)
		}
	}
}

func (f *fleet) advance(targets int) {
	for _, r := range append([]request(nil), f.inFlight...) {
		if f.now.Before(f.down[r.target]) {
			continue
		}
		if f.isDeadly(r.parts) && !f.now.Before(r.begins.Add(eventTime-step)) {
			f.crashes++
			if f.crashes == 5 {
				f.fifthAt = f.now
			}
			if f.crashes > 5 && f.now.Sub(f.fifthAt) > contactTime {
				f.lateCrashes++
			}
			f.crash(r.target, targets)
		}
	}
	var left []request
	for _, r := range f.inFlight {
		if f.now.Before(r.ends) {
			left = append(left, r)
			continue
		}
		f.routers[r.router].RecordComplete(r.parts, f.now)
	}
	f.inFlight = left
}

// gossip sends each router's reports to all others; some messages are lost.
func (f *fleet) gossip() {
	for i, tracker := range f.routers {
		reports := tracker.Reports(f.now)
		for to := range f.routers {
			if to != i && len(reports) > 0 && f.rnd.IntN(10) > 0 {
				delay := time.Duration(f.rnd.Int64N(int64(maxDelay)))
				f.pending = append(f.pending, message{to: to, arrives: f.now.Add(delay), reports: reports})
			}
		}
	}
}

func (f *fleet) deliver() {
	var left []message
	for _, m := range f.pending {
		if f.now.Before(m.arrives) {
			left = append(left, m)
			continue
		}
		f.routers[m.to].RecordFromPeer(m.reports, f.now)
	}
	f.pending = left
}

// TestSimulatedDeadlyPart checks on simulated fleets that a part that crashes every
// target is blocked everywhere in time, and that hardly any sound request is, though they
// share the other parts and targets also crash by themselves.
func TestSimulatedDeadlyPart(t *testing.T) {
	tests := map[string]struct {
		routers, targets int
		// deadly and sound are requests, failures crashes of other causes, per step in
		// parts per thousand.
		deadly, sound, failures int
	}{
		"small fleet":              {18, 9, 14, 270, 0},
		"large fleet":              {50, 120, 130, 1200, 0},
		"seldom":                   {18, 9, 2, 270, 0},
		"targets fail as well":     {40, 60, 30, 800, 30},
		"only other failures":      {40, 60, 0, 800, 60},
		"many deadly, few routers": {3, 20, 200, 600, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				f := &fleet{rnd: rand.New(rand.NewPCG(seed, 1)), down: map[TargetKey]time.Time{}, starts: map[TargetKey]int{}, now: start}
				for range tt.routers {
					f.routers = append(f.routers, NewTracker())
				}
				for i := range 1000 {
					f.now = f.now.Add(step)
					f.play(tt.deadly, tt.sound, tt.failures, tt.targets)
					f.deliver()
					if i%10 == 0 {
						f.gossip()
					}
				}
				require.LessOrEqual(t, f.lateCrashes, 3, seed)
				require.LessOrEqual(t, f.soundRejected*100, f.sound, "one in a hundred sound requests, seed %d", seed)
			}
		})
	}
}

// play sends the requests of one step and lets targets fail.
func (f *fleet) play(deadly, sound, failures, targets int) {
	for range f.perStep(sound) {
		if f.settled() {
			f.sound++
		}
		f.send(request{router: f.rnd.IntN(len(f.routers)), parts: f.soundParts()}, targets)
	}
	for range f.perStep(deadly) {
		parts := append(f.soundParts(), deadlyPart)
		f.send(request{router: f.rnd.IntN(len(f.routers)), parts: parts}, targets)
	}
	for range f.perStep(failures) {
		if target := TargetKey(f.rnd.IntN(targets)); f.now.After(f.down[target]) {
			f.crash(target, targets)
		}
	}
	f.advance(targets)
}

func (f *fleet) soundParts() []Subject {
	return []Subject{commonPart, firstTopic + Part(f.rnd.IntN(topics))}
}

// perStep returns how many events happen in this step, given their number in a thousand.
func (f *fleet) perStep(thousandths int) int {
	n := thousandths / 1000
	if f.rnd.IntN(1000) < thousandths%1000 {
		n++
	}
	return n
}
