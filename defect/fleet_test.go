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
	// crashAfter is when a target crashes on the deadly part, from the head of the response.
	crashAfter time.Duration
}

type request struct {
	router  int
	parts   []Subject
	target  TargetKey
	sent    time.Time
	begins  time.Time
	ends    time.Time
	soundAt time.Time
	attempt int
}

// incarnation returns the key of the current run of a target.
func (f *fleet) incarnation(target TargetKey) TargetKey {
	return target<<32 | TargetKey(f.starts[target])
}

// justBegun reports whether the target has begun to respond and is not beyond the beginning.
func (r request) justBegun(now time.Time) bool {
	return !now.Before(r.begins) && now.Before(r.begins.Add(beginning))
}

// stage returns how far the target has come.
func (r request) stage(now time.Time) Stage {
	switch {
	case now.Before(r.begins):
		return Waiting
	case r.justBegun(now):
		return Beginning
	}
	return Running
}

// ranWell reports whether the response is beyond its beginning, and as far again since the last
// time.
func (r request) ranWell(now time.Time) bool {
	return !now.Before(r.begins.Add(beginning)) && now.Sub(r.soundAt) >= beginning
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
	// beginning is the time from the head of a response to where it is beyond its beginning.
	beginning = 300 * time.Millisecond
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
	if !admits(tracker, r.parts, len(f.routers), f.rnd.Uint64(), f.now) {
		if !f.isDeadly(r.parts) && f.settled() {
			f.soundRejected++
		}
		return
	}
	r.target = TargetKey(f.rnd.IntN(targets))
	for i := 0; !f.now.After(f.down[r.target]); i++ {
		if i == targets {
			return
		}
		r.target = (r.target + 1) % TargetKey(targets)
	}
	r.sent = f.now
	r.begins = f.now.Add(time.Duration(f.rnd.IntN(400)) * time.Millisecond)
	r.ends = r.begins.Add(eventTime + time.Duration(f.rnd.IntN(2000))*time.Millisecond)
	if f.isDeadly(r.parts) {
		r.ends = r.begins.Add(time.Hour)
	}
	f.inFlight = append(f.inFlight, r)
}

// admits reports whether a router lets a request through.
func admits(tr *Tracker, subjects []Subject, routers int, random uint64, now time.Time) bool {
	switch a := tr.Admit(subjects, routers, random, now).(type) {
	case Rejected:
		return false
	case Trial:
		return tr.BeginTrial(a.Subject, now)
	}
	return true
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
		tracker.RecordCrashAt(r.stage(f.now), r.parts, f.incarnation(target), r.sent, f.now)
		if r.attempt == 0 && tracker.MayResend(r.parts, f.now) {
			r.attempt++
			f.send(r, targets)
		}
	}
}

// loseDomain lets a third of the targets crash at the same moment.
func (f *fleet) loseDomain(targets int) {
	domain := f.rnd.IntN(3)
	lost := make([]TargetKey, 0, targets/3)
	for target := TargetKey(domain); int(target) < targets; target += 3 {
		if f.now.After(f.down[target]) {
			f.down[target] = f.now.Add(restart)
			lost = append(lost, target)
		}
	}
	for _, target := range lost {
		f.crash(target, targets)
	}
}

func (f *fleet) advance(targets int) {
	for _, r := range append([]request(nil), f.inFlight...) {
		if f.now.Before(f.down[r.target]) {
			continue
		}
		if f.isDeadly(r.parts) && !f.now.Before(r.begins.Add(f.crashAfter)) {
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
			if r.ranWell(f.now) {
				r.soundAt = f.now
				f.routers[r.router].RecordProgress(r.parts, f.now)
			}
			left = append(left, r)
			continue
		}
		f.routers[r.router].RecordSound(r.parts, f.now)
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

// simulatedLoad is the size of a fleet and what happens there.
type simulatedLoad struct {
	routers, targets int
	// deadly and sound are requests, failures crashes of other causes, per step in parts per
	// thousand, domains the losses of a third of the targets at once.
	deadly, sound, failures, domains int
	// crash is when a target crashes on the deadly part.
	crash crashMoment
}

// crashMoment is a time from when the head of a response reaches the router.
type crashMoment time.Duration

const (
	beforeFirstEvent = crashMoment(eventTime - step)
	// beforeHead is before anything of the response reaches the router.
	beforeHead = crashMoment(-step)
	// whileRunning is when the response counts as one that runs well.
	whileRunning = crashMoment(2 * beginning)
)

// seeds returns the number of runs: large fleets take long.
func (l simulatedLoad) seeds() int {
	if l.routers > 50 {
		return 1
	}
	return 3
}

// steps returns the number of steps of a run.
func (l simulatedLoad) steps() int {
	if l.routers > 50 {
		return 500
	}
	return 1000
}

// TestSimulatedDeadlyPart checks on simulated fleets that a part that crashes every
// target is blocked everywhere in time, and that hardly any sound request is, though they
// share the other parts and targets also crash by themselves.
func TestSimulatedDeadlyPart(t *testing.T) {
	tests := map[string]simulatedLoad{
		"small fleet":                    {18, 9, 14, 270, 0, 0, beforeFirstEvent},
		"large fleet":                    {50, 120, 130, 1200, 0, 0, beforeFirstEvent},
		"seldom":                         {18, 9, 2, 270, 0, 0, beforeFirstEvent},
		"targets fail as well":           {40, 60, 30, 800, 30, 0, beforeFirstEvent},
		"only other failures":            {40, 60, 0, 800, 60, 0, beforeFirstEvent},
		"many deadly, few routers":       {3, 20, 200, 600, 0, 0, beforeFirstEvent},
		"113 routers":                    {113, 60, 60, 1700, 20, 0, beforeFirstEvent},
		"195 routers":                    {195, 120, 100, 3000, 40, 0, beforeFirstEvent},
		"domains fail":                   {18, 9, 0, 1000, 0, 4, beforeFirstEvent},
		"domains fail, 113 routers":      {113, 60, 0, 3000, 0, 4, beforeFirstEvent},
		"domains fail, 195 routers":      {195, 120, 0, 6000, 0, 4, beforeFirstEvent},
		"deadly part and domains, large": {113, 60, 60, 3000, 0, 4, beforeFirstEvent},
		"head lost":                      {18, 9, 14, 270, 0, 0, beforeHead},
		"head lost, seldom":              {18, 9, 2, 270, 0, 0, beforeHead},
		"head lost, targets fail":        {40, 60, 30, 800, 30, 0, beforeHead},
		"head lost, few routers":         {3, 20, 200, 600, 0, 0, beforeHead},
		"head lost, 113 routers":         {113, 60, 60, 1700, 20, 0, beforeHead},
		"head lost, 300 routers":         {300, 180, 100, 4600, 40, 0, beforeHead},
		"head lost, domains, large":      {113, 60, 60, 3000, 0, 4, beforeHead},
		"late":                           {18, 9, 14, 270, 0, 0, whileRunning},
		"late, few routers":              {3, 20, 200, 600, 0, 0, whileRunning},
		"late, 113 routers":              {113, 60, 60, 1700, 20, 0, whileRunning},
		"late, 300 routers":              {300, 180, 100, 4600, 40, 0, whileRunning},
		"late, domains, large":           {113, 60, 60, 3000, 0, 4, whileRunning},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(tt.seeds()) {
				f := &fleet{rnd: rand.New(rand.NewPCG(seed, 1)), down: map[TargetKey]time.Time{}, starts: map[TargetKey]int{}, now: start, crashAfter: time.Duration(tt.crash)}
				for range tt.routers {
					f.routers = append(f.routers, NewTracker())
				}
				for i := range tt.steps() {
					f.now = f.now.Add(step)
					f.play(tt.deadly, tt.sound, tt.failures, tt.targets)
					if f.perStep(tt.domains) > 0 {
						f.loseDomain(tt.targets)
					}
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
