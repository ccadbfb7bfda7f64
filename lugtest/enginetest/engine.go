package enginetest

import (
	"slices"
	"time"

	"vanillalug.example/crew"
	"vanillalug.example/fitting"
)

const (
	// firstToken is the time from the end of reading to the first token.
	firstToken = 16 * time.Millisecond
	// copySetup is what a copy takes besides its bytes.
	copySetup = 8 * time.Millisecond
	// slowFactor is how much longer a slow engine takes.
	slowFactor = 4
)

// engine is one model engine.
type engine struct {
	target  crew.Target
	key     fitting.Key
	running int
	queue   []*job
	// reading is when the prompts that were taken are read.
	reading time.Duration
	cached  map[uint64]bool
	gone    bool
	slow    bool
}

// job is one send of a request.
type job struct {
	class  Class
	rank   int
	router *router
	prompt uint64
	// unread is the tokens that the router counts until the first token.
	unread int
	// source is an engine that the shared prompt is copied from.
	source *engine
	start  time.Duration
	sent   time.Duration
	// first says that the first token came, late that it came after the goal,
	// done that nobody waits any more.
	first, late, done bool
	slot              bool
}

func (e *engine) load() int { return e.running + len(e.queue) }

// take takes a job in; it returns false where the queue is full.
func (r *replay) take(e *engine, j *job) bool {
	if e.running < r.site.Slots {
		r.begin(e, j)
		return true
	}
	if len(e.queue) >= r.site.Queue {
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

// begin gives a job a slot.
func (r *replay) begin(e *engine, j *job) {
	e.running++
	j.slot = true
	read := r.readTime(e, j)
	e.reading = max(e.reading, r.now) + read
	step := r.site.Step + time.Duration(e.running)*r.site.StepPerSlot
	first := e.reading + firstToken - r.now
	whole := first + time.Duration(j.class.OutputTokens)*step
	if e.slow {
		first *= slowFactor
		whole *= slowFactor
	}
	r.after(first, func() { r.firstToken(e, j) })
	r.after(whole, func() { r.finish(e, j) })
}

// readTime is how long the prompt takes to be read or copied. What is read
// though some engine has it is counted.
func (r *replay) readTime(e *engine, j *job) time.Duration {
	tokens := j.class.OwnTokens
	var extra time.Duration
	switch {
	case e.cached[j.prompt]:
	case j.source != nil && j.source.cached[j.prompt] && !j.source.gone:
		extra = copySetup + time.Duration(j.class.SharedTokens/r.site.CopyRate)*time.Millisecond
	default:
		tokens += j.class.SharedTokens
		if slices.ContainsFunc(r.engines, func(o *engine) bool { return o.cached[j.prompt] && !o.gone }) {
			r.out.ReprefilledTokens += j.class.SharedTokens
		}
	}
	e.cached[j.prompt] = true
	return extra + time.Duration(tokens)*time.Millisecond/time.Duration(r.site.ReadRate)
}

// free gives the slot of a job to the next one.
func (r *replay) free(e *engine, j *job) {
	if !j.slot {
		e.queue = slices.DeleteFunc(e.queue, func(o *job) bool { return o == j })
		return
	}
	e.running--
	if len(e.queue) > 0 && e.running < r.site.Slots {
		next := e.queue[0]
		e.queue = e.queue[1:]
		r.begin(e, next)
	}
}
