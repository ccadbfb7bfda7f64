package enginetest

import (
	"time"

	"vanillalug.example/capacity"
	"vanillalug.example/crew"
	"vanillalug.example/fitting"
)

const (
	// speedStep is the duration of a step of an idle engine, and speedStepPerJob what each
	// running request adds.
	speedStep       = 3600 * time.Microsecond
	speedStepPerJob = 90 * time.Microsecond
	// speedChunk is the number of prompt tokens that are read between two steps, and
	// speedPrefillRate how many are read in a millisecond.
	speedChunk       = 512
	speedPrefillRate = 56
	// speedCopyRate and speedCopySetup are those of copies of prompts.
	speedCopyRate  = 1220
	speedCopySetup = 8 * speedPrefillRate
	// firstEventSteps and eventSteps are the tokens in the first event and in each other one.
	firstEventSteps = 5
	eventSteps      = 8
	// slowCallerTime is how long a slow caller takes to read an event.
	slowCallerTime = 200 * time.Millisecond
)

// speedEngine is an engine that decodes in steps and reads prompts in chunks between them.
type speedEngine struct {
	machine machine
	target  crew.Target
	key     fitting.Key
	running []*speedJob
	queue   []*speedJob
	cached  map[uint64]bool
	// stepping says that a step is scheduled.
	stepping bool
}

// speedJob is one request at an engine.
type speedJob struct {
	class  Class
	router *speedRouter
	engine *speedEngine
	// before is the load that the router knew when it sent the request, and tokens are those
	// that it expected to be read for it.
	before fitting.Load
	tokens int
	copied bool
	slow   bool
	start  time.Duration
	// unread are the tokens still to be read, and produced those decoded.
	unread, produced, inEvent int
	firstAt, lastAt           time.Duration
	longestPause              time.Duration
	pace                      capacity.Pace
	// blockedUntil is when a slow caller has read what came.
	blockedUntil time.Duration
}

func (e *speedEngine) load() int { return len(e.running) + len(e.queue) }

// step schedules the next step of an engine that has work.
func (s *speedSimulation) step(e *speedEngine) {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	d := speedStep + time.Duration(len(e.running))*speedStepPerJob
	reading := firstUnread(e.running)
	if reading != nil {
		chunk := min(reading.unread, speedChunk)
		d += time.Duration(chunk) * time.Millisecond / speedPrefillRate
		reading.unread -= chunk
	}
	d = time.Duration(float64(d) * e.machine.slowness(s.now))
	s.after(d, func() {
		e.stepping = false
		s.finishStep(e, reading)
		s.step(e)
	})
}

func firstUnread(jobs []*speedJob) *speedJob {
	for _, j := range jobs {
		if j.unread > 0 {
			return j
		}
	}
	return nil
}

// finishStep decodes a token for each request whose prompt was read before the step.
func (s *speedSimulation) finishStep(e *speedEngine, reading *speedJob) {
	left := e.running[:0]
	for _, j := range e.running {
		if j.unread > 0 || j == reading {
			left = append(left, j)
			continue
		}
		j.produced++
		j.inEvent++
		done := j.produced >= j.class.OutputTokens
		if done || j.firstAt == 0 && j.inEvent >= firstEventSteps || j.inEvent >= eventSteps {
			j.inEvent = 0
			s.emit(j)
		}
		if done {
			s.finish(j)
			continue
		}
		left = append(left, j)
	}
	e.running = left
	for len(e.queue) > 0 && len(e.running) < s.deployment.Slots {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
}

// emit sends an event of a request to its router.
func (s *speedSimulation) emit(j *speedJob) {
	if j.firstAt == 0 {
		j.firstAt = s.now
		j.router.loads.Add(j.engine.key, 0, -(j.class.SharedTokens + j.class.OwnTokens))
	} else {
		j.longestPause = max(j.longestPause, s.now-j.lastAt)
	}
	j.lastAt = s.now
	if s.now < j.blockedUntil {
		// The event waits in the buffers until the caller has read the one before.
		return
	}
	now := s.clockTime()
	pause, first := j.pace.Read(1, now)
	key := capacity.TargetKey(j.engine.key)
	if first && !j.copied && j.before.Requests() < s.deployment.Slots {
		j.router.policy.Observe(key, capacity.FirstEvent{Tokens: j.tokens, Took: s.now - j.start}, now)
	}
	if first {
		j.router.policy.Observe(key, capacity.Stated{Percent: int(100 * j.engine.machine.stated(s.now))}, now)
	}
	if pause > 0 {
		load := j.router.loads.Loads([]fitting.Key{j.engine.key}, now.Add(-s.deployment.loadTTL()))[0]
		j.router.policy.Observe(key, capacity.Pause{Each: pause, Batch: load.Requests()}, now)
	}
	if j.slow {
		j.blockedUntil = s.now + slowCallerTime
		j.pace.Written(now.Add(slowCallerTime))
	}
}

func (s *speedSimulation) finish(j *speedJob) {
	j.router.loads.Add(j.engine.key, -1, 0)
	j.router.serviceTimes.Observe(service, s.now-j.start)
	s.record(j)
}
