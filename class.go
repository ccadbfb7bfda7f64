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
	defaultPatience      = time.Second
)

// Class is a kind of request, such as interactive or batch.
type Class struct {
	name          string
	priority      int
	weight        int
	queueLimit    int
	queueDeadline time.Duration
	patience      time.Duration
}

// Name returns the unique name of the class.
func (c Class) Name() string { return c.name }

// Priority is passed to engines; a lower number is served first.
func (c Class) Priority() int { return c.priority }

// Weight is the part of an engine that the class gets while every class waits.
func (c Class) Weight() int { return c.weight }

// QueueLimit is the largest number of requests that wait for one engine.
func (c Class) QueueLimit() int { return c.queueLimit }

// QueueDeadline is the longest time that a request waits for an engine.
func (c Class) QueueDeadline() time.Duration { return c.queueDeadline }

// LocalityWait returns how long a returning chat waits at most for the engine that
// has its prompt cached before it goes to another one. It never waits longer
// than a prompt that is not cached would take.
func (c Class) LocalityWait() time.Duration { return c.patience }

func readClass(s *form.Section) Class {
	return Class{
		name:          s.Name(),
		priority:      s.Int("priority", 0, 0, maxPriority),
		weight:        s.Int("weight", defaultClassWeight, 1, maxClassWeight),
		queueLimit:    s.Int("queue-limit", defaultQueueLimit, 0, maxQueueLimit),
		queueDeadline: s.Duration("queue-deadline", defaultQueueDeadline, time.Millisecond, maxQueueDeadline),
		patience:      s.Duration("patience", defaultPatience, 0, maxQueueDeadline),
	}
}
