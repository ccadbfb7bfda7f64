package vanillalug

import (
	"time"

	"vanillalug.example/form"
)

const (
	defaultClassWeight   = 1
	defaultQueueLimit    = 256
	defaultQueueDeadline = 10 * time.Second
	maxClassWeight       = 1000
	maxPriority          = 100
	maxQueueLimit        = 100000
	maxQueueDeadline     = 10 * time.Minute
	defaultLocalityWait  = time.Second
)

// Class is a request class, such as interactive or batch, with its priority and
// queue limits.
type Class struct {
	name          string
	priority      int
	weight        int
	queueLimit    int
	queueDeadline time.Duration
	localityWait  time.Duration
}

// Name returns the unique name of the class.
func (c Class) Name() string { return c.name }

// Priority returns the priority that is passed to engines; a lower number is
// served first.
func (c Class) Priority() int { return c.priority }

// Weight returns the weight by which the class shares an engine's capacity while
// every class has requests queued.
func (c Class) Weight() int { return c.weight }

// QueueLimit returns the largest number of requests queued for one engine.
func (c Class) QueueLimit() int { return c.queueLimit }

// QueueDeadline returns the longest time that a request is queued for an engine.
func (c Class) QueueDeadline() time.Duration { return c.queueDeadline }

// LocalityWait returns the longest time that a follow-up request of a chat waits
// for the engine that has its prompt cached before it is sent to another one.
// The wait is never longer than the prefill of an uncached prompt would take.
func (c Class) LocalityWait() time.Duration { return c.localityWait }

func readClass(s *form.Section) Class {
	return Class{
		name:          s.Name(),
		priority:      s.Int("priority", 0, 0, maxPriority),
		weight:        s.Int("weight", defaultClassWeight, 1, maxClassWeight),
		queueLimit:    s.Int("queue-limit", defaultQueueLimit, 0, maxQueueLimit),
		queueDeadline: s.Duration("queue-deadline", defaultQueueDeadline, time.Millisecond, maxQueueDeadline),
		localityWait:  s.Duration("patience", defaultLocalityWait, 0, maxQueueDeadline),
	}
}
