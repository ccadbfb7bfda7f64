package vanillalug

import (
	"time"

	"vanillalug.example/form"
)

const (
	defaultServiceDeadline = 30 * time.Second
	maxServiceDeadline     = time.Hour
)

// Service is an application service that callers reach under its name.
type Service struct {
	name     string
	deadline time.Duration
	outcomes string
	calls    []Call
}

// Name returns the unique name of the service, the first segment of its paths.
func (s Service) Name() string { return s.name }

// Deadline is the longest time that one call may take.
func (s Service) Deadline() time.Duration { return s.deadline }

// OutcomePath returns the path below a target at which the outcome of a call can
// be asked for by its idempotency key, or "" where the target cannot tell.
func (s Service) OutcomePath() string { return s.outcomes }

// Calls returns the declared calls in order of name.
func (s Service) Calls() []Call { return s.calls }

// Retryable reports whether a call may be sent more than once.
// A call that no declaration covers is not repeatable.
func (s Service) Retryable(method, path string) bool {
	for _, c := range s.calls {
		if c.Matches(method, path) {
			return c.repeatable
		}
	}
	return false
}

func readService(s *form.Section) Service {
	return Service{
		name:     s.Name(),
		deadline: s.Duration("deadline", defaultServiceDeadline, time.Millisecond, maxServiceDeadline),
		outcomes: s.Text("outcomes", ""),
	}
}
