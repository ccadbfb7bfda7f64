package vanillalug

import (
	"time"

	"vanillalug.example/form"
)

const (
	defaultServiceDeadline = 30 * time.Second
	maxServiceDeadline     = time.Hour
)

// Service is an application service that callers address by its name.
type Service struct {
	name        string
	deadline    time.Duration
	outcomePath string
	calls       []Call
}

// Name returns the unique name of the service, which is the first segment of its
// paths.
func (s Service) Name() string { return s.name }

// Deadline returns the longest time that one call may take.
func (s Service) Deadline() time.Duration { return s.deadline }

// OutcomePath returns the path at which targets report the outcome of a call by
// its idempotency key, or "" if they have no such endpoint.
func (s Service) OutcomePath() string { return s.outcomePath }

// Calls returns the declared calls in order of name.
func (s Service) Calls() []Call { return s.calls }

// Retryable reports whether a call may be sent more than once. A call that matches
// no declaration is not retryable.
func (s Service) Retryable(method, path string) bool {
	for _, c := range s.calls {
		if c.Matches(method, path) {
			return c.retryable
		}
	}
	return false
}

func readService(s *form.Section) Service {
	return Service{
		name:        s.Name(),
		deadline:    s.Duration("deadline", defaultServiceDeadline, time.Millisecond, maxServiceDeadline),
		outcomePath: s.Text("outcomes", ""),
	}
}
