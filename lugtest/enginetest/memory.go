package enginetest

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// memoryTick is how often the engines compare the tokens of their requests with their memory.
	memoryTick = 50 * time.Millisecond
	// maxLengthFactor is the maximum of output tokens that callers state, as a multiple of the
	// usual length.
	maxLengthFactor = 4
	// maxPause is the longest pause within a stream that is in time.
	maxPause = 500 * time.Millisecond
)

// Memory is the memory of an engine.
type Memory struct {
	// Tokens is the size of the KV cache.
	Tokens int
	// LengthSpread is the standard deviation of the logarithm of output lengths, HintSpread that
	// of the callers' estimates of them.
	LengthSpread, HintSpread float64
	// UnknownLoads makes the routers ignore memory, as builds did that don't know of it.
	UnknownLoads bool
}

// drawLength draws the length of the response and the caller's estimate.
func (s *simulation) drawLength(q *request) {
	q.output = q.class.OutputTokens
	m := s.deployment.Memory
	if m.Tokens == 0 {
		return
	}
	longest := float64(maxLengthFactor * q.class.OutputTokens)
	q.output = int(max(1, min(longest, float64(q.output)*math.Exp(m.LengthSpread*s.random.NormFloat64()))))
	q.hint = int(max(1, float64(q.output)*math.Exp(m.HintSpread*s.random.NormFloat64())))
}

// maxOutput returns the maximum of output tokens that the caller states.
func (s *simulation) maxOutput(q *request) int {
	if s.deployment.Memory.Tokens == 0 {
		return q.output
	}
	return maxLengthFactor * q.class.OutputTokens
}

// tokens returns the tokens that a running job holds, without the shared part.
func (j *job) tokens(now time.Duration) int {
	return j.class.OwnTokens + j.generated(now)
}

// generated returns the output tokens so far.
func (j *job) generated(now time.Duration) int {
	if !j.hasSlot || now <= j.firstAt {
		return j.output - j.remaining
	}
	if now >= j.endAt {
		return j.output
	}
	part := float64(now-j.firstAt) / float64(j.endAt-j.firstAt)
	return j.output - j.remaining + int(part*float64(j.remaining))
}

// tokensInUse returns the tokens of the running jobs, shared parts once.
func (e *engine) tokensInUse(now time.Duration) int {
	sum := 0
	shared := map[uint64]bool{}
	for _, j := range e.jobs {
		sum += j.tokens(now)
		if !shared[j.prompt] {
			shared[j.prompt] = true
			sum += j.class.SharedTokens
		}
	}
	return sum
}

// hasMemory reports whether the prompt of a job fits into the memory, and evicts cached prompts
// that no running job uses.
func (s *simulation) hasMemory(e *engine, j *job) bool {
	limit := s.deployment.Memory.Tokens
	if limit == 0 || len(e.jobs) == 0 {
		return true
	}
	need := j.tokens(s.now)
	inUse := map[uint64]bool{}
	for _, o := range e.jobs {
		inUse[o.prompt] = true
	}
	if !inUse[j.prompt] {
		need += j.class.SharedTokens
	}
	free := limit - e.tokensInUse(s.now) - need
	if free < 0 {
		return false
	}
	inUse[j.prompt] = true
	e.evict(free, inUse)
	return true
}

// evict removes the prompts used longest ago that don't fit into the free memory.
func (e *engine) evict(free int, inUse map[uint64]bool) {
	var idle []uint64
	for prompt := range e.cached {
		if !inUse[prompt] {
			idle = append(idle, prompt)
		}
	}
	slices.SortFunc(idle, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(e.usedAt[b], e.usedAt[a]), cmp.Compare(a, b))
	})
	for _, prompt := range idle {
		free -= int(prompt >> 16)
		if free < 0 {
			delete(e.cached, prompt)
		}
	}
}

// preemptAll preempts requests at the engines that are over their memory.
func (s *simulation) preemptAll() {
	for _, e := range s.engines {
		for len(e.jobs) > 1 && e.tokensInUse(s.now) > s.deployment.Memory.Tokens {
			s.preempt(e)
		}
		s.startQueued(e)
	}
	if s.now < PatternDuration+s.deployment.maxTimeout() {
		s.after(memoryTick, s.preemptAll)
	}
}

// preempt moves the newest of the least urgent jobs back to the queue.
func (s *simulation) preempt(e *engine) {
	j := slices.MaxFunc(e.jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.startedAt, b.startedAt))
	})
	s.result.Preemptions++
	done := j.generated(s.now)
	j.remaining = max(j.output-done, 1)
	j.hasSlot = false
	j.generation++
	if j.hasFirstToken && j.pausedAt == 0 {
		j.pausedAt = s.now
	}
	e.leave(j)
	e.running--
	at, _ := slices.BinarySearchFunc(e.queue, j, func(a, b *job) int { return cmp.Or(cmp.Compare(a.rank, b.rank), 1) })
	e.queue = slices.Insert(e.queue, at, j)
}

func (e *engine) leave(j *job) {
	e.jobs = slices.DeleteFunc(e.jobs, func(o *job) bool { return o == j })
}

// endPause counts a request as late whose stream paused for too long.
func (s *simulation) endPause(j *job) {
	if j.pausedAt == 0 || j.done {
		return
	}
	if s.now-j.pausedAt > maxPause && !j.late {
		s.undoFirstToken(j)
		j.late = true
		s.result.Late++
	}
	j.pausedAt = 0
}
