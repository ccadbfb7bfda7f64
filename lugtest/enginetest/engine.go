package enginetest

import (
	"slices"
	"time"

	"vanillalug.example/crew"
	"vanillalug.example/fitting"
)

const (
	// firstTokenDelay is the time from the end of prefill to the first token.
	firstTokenDelay = 16 * time.Millisecond
	// copySetup is the fixed time of a prompt copy, besides the transfer.
	copySetup = 8 * time.Millisecond
	// slowFactor is how many times as long a slow engine takes.
	slowFactor = 4
)

// engine is a simulated model engine.
type engine struct {
	target  crew.Target
	key     fitting.Key
	running int
	queue   []*job
	// prefilledAt is when the prompts in flight are prefilled.
	prefilledAt time.Duration
	cached      map[uint64]bool
	// usedAt is when each cached prompt was used last.
	usedAt map[uint64]time.Duration
	// jobs are the running ones.
	jobs []*job
	lost bool
	slow bool
}

// job is one attempt of a request at an engine.
type job struct {
	class  Class
	rank   int
	router *router
	prompt uint64
	// prefillTokens are counted in the router's load until the first token.
	prefillTokens int
	// source is the engine that the shared prompt is copied from, or nil.
	source *engine
	start  time.Duration
	sent   time.Duration
	// hasFirstToken means that the first token was returned, late that this was
	// after the goal, and done that the job was served or expired.
	hasFirstToken, late, done bool
	// hasSlot means that the job is running, not queued.
	hasSlot bool
	request *request
	// ahead is the load of its engine that its router knew of.
	ahead fitting.Load
	// load is what the job adds to the load of its engine.
	load fitting.Load
	// output is the length of the response, remaining what the engine has yet to generate after
	// the last start of the job. The first and the last token of that come at firstAt and endAt.
	output, remaining         int
	startedAt, firstAt, endAt time.Duration
	// generation counts the starts, pausedAt is when a stream was preempted.
	generation int
	pausedAt   time.Duration
}

func (e *engine) load() int { return e.running + len(e.queue) }

// enqueue starts a job or queues it by its rank. It returns false if the queue
// is full.
func (s *simulation) enqueue(e *engine, j *job) bool {
	if e.running < s.deployment.Slots && s.hasMemory(e, j) {
		s.startJob(e, j)
		return true
	}
	if len(e.queue) >= s.deployment.Queue {
		return false
	}
	at, _ := slices.BinarySearchFunc(e.queue, j, func(a, b *job) int {
		if a.rank <= b.rank {
			return -1
		}
		return 1
	})
	e.queue = slices.Insert(e.queue, at, j)
	return true
}

// startJob gives a job a slot and schedules its first token and its end.
func (s *simulation) startJob(e *engine, j *job) {
	e.running++
	j.hasSlot = true
	prefill := s.prefillTime(e, j)
	e.prefilledAt = max(e.prefilledAt, s.now) + prefill
	step := s.deployment.Step + time.Duration(e.running)*s.deployment.StepPerSlot
	first := e.prefilledAt + firstTokenDelay - s.now
	total := first + time.Duration(j.remaining)*step
	if e.slow {
		first *= slowFactor
		total *= slowFactor
	}
	e.jobs = append(e.jobs, j)
	e.usedAt[j.prompt] = s.now
	j.startedAt, j.firstAt, j.endAt = s.now, s.now+first, s.now+total
	generation := j.generation
	s.after(first, func() {
		if generation == j.generation {
			s.endPause(j)
			s.handleFirstToken(e, j)
		}
	})
	s.after(total, func() {
		if generation == j.generation {
			s.finish(e, j)
		}
	})
}

// prefillTime returns how long it takes to prefill or copy the prompt. It counts
// the tokens that are prefilled although some engine has them cached.
func (s *simulation) prefillTime(e *engine, j *job) time.Duration {
	tokens := j.class.OwnTokens + j.output - j.remaining
	var extra time.Duration
	switch {
	case e.cached[j.prompt]:
	case j.source != nil && j.source.cached[j.prompt] && !j.source.lost:
		extra = copySetup + time.Duration(j.class.SharedTokens/s.deployment.CopyRate)*time.Millisecond
	default:
		tokens += j.class.SharedTokens
		if slices.ContainsFunc(s.engines, func(o *engine) bool { return o.cached[j.prompt] && !o.lost }) {
			s.result.ReprefilledTokens += j.class.SharedTokens
		}
	}
	e.cached[j.prompt] = true
	return extra + time.Duration(tokens)*time.Millisecond/time.Duration(s.deployment.PrefillRate)
}

// release removes a job from its engine and starts the next one in the queue.
func (s *simulation) release(e *engine, j *job) {
	if !j.hasSlot {
		e.queue = slices.DeleteFunc(e.queue, func(o *job) bool { return o == j })
		return
	}
	e.running--
	e.leave(j)
	s.startQueued(e)
}

// startQueued starts queued jobs in order while there is room.
func (s *simulation) startQueued(e *engine) {
	for len(e.queue) > 0 && e.running < s.deployment.Slots && s.hasMemory(e, e.queue[0]) {
		next := e.queue[0]
		e.queue = e.queue[1:]
		s.startJob(e, next)
	}
}
