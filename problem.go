package vanillalug

import (
	"encoding/json"
	"fmt"
	"time"
)

// ProblemType is the media type of a Problem (RFC 9457).
const ProblemType = "application/problem+json"

// Problem is the body of every error response to a caller.
type Problem struct {
	status          int
	code            string
	detail          string
	field           string
	runState        RunState
	retryAfter      time.Duration
	earlierRunState RunState
}

// ProblemOption is an option of NewProblem.
type ProblemOption func(*Problem)

// WithField sets the name of the invalid request field.
func WithField(field string) ProblemOption {
	return func(p *Problem) { p.field = field }
}

// WithRunState sets the run state; the default is not-run.
func WithRunState(s RunState) ProblemOption {
	return func(p *Problem) { p.runState = s }
}

// WithRetryAfter sets after what time the caller may retry.
func WithRetryAfter(d time.Duration) ProblemOption {
	return func(p *Problem) { p.retryAfter = d }
}

// WithEarlierRunState sets the run state of earlier attempts with the same
// idempotency key, if it differs from that of this attempt.
func WithEarlierRunState(s RunState) ProblemOption {
	return func(p *Problem) { p.earlierRunState = s }
}

// NewProblem returns a problem with an HTTP status, a stable code in kebab
// case and a human-readable detail.
func NewProblem(status int, code, detail string, opts ...ProblemOption) *Problem {
	p := &Problem{status: status, code: code, detail: detail, runState: NotRun}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Status returns the HTTP status.
func (p *Problem) Status() int { return p.status }

// Code returns the stable code, such as queue-full.
func (p *Problem) Code() string { return p.code }

// Detail returns the human-readable detail.
func (p *Problem) Detail() string { return p.detail }

// Field returns the name of the invalid request field, or "".
func (p *Problem) Field() string { return p.field }

// RunState reports whether the request was run.
func (p *Problem) RunState() RunState { return p.runState }

// RetryAfter returns after what time the caller may retry, or 0 if unspecified.
func (p *Problem) RetryAfter() time.Duration { return p.retryAfter }

// EarlierRunState returns the run state of earlier attempts with the same
// idempotency key, or "".
func (p *Problem) EarlierRunState() RunState { return p.earlierRunState }

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%d, %s): %s", p.code, p.status, p.runState, p.detail)
}

type problemBody struct {
	Type            string   `json:"type"`
	Title           string   `json:"title"`
	Status          int      `json:"status"`
	Detail          string   `json:"detail"`
	Field           string   `json:"field,omitempty"`
	RunState        RunState `json:"run-state"`
	RetryMS         int64    `json:"retry-after-ms,omitempty"`
	EarlierRunState RunState `json:"earlier-attempts,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (p *Problem) MarshalJSON() ([]byte, error) {
	return json.Marshal(problemBody{
		Type:            "urn:vanillalug:problem:" + p.code,
		Title:           p.code,
		Status:          p.status,
		Detail:          p.detail,
		Field:           p.field,
		RunState:        p.runState,
		RetryMS:         p.retryAfter.Milliseconds(),
		EarlierRunState: p.earlierRunState,
	})
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *Problem) UnmarshalJSON(raw []byte) error {
	var b problemBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return fmt.Errorf("Problem.UnmarshalJSON: %w", err)
	}
	*p = Problem{
		status:          b.Status,
		code:            b.Title,
		detail:          b.Detail,
		field:           b.Field,
		runState:        b.RunState,
		retryAfter:      time.Duration(b.RetryMS) * time.Millisecond,
		earlierRunState: b.EarlierRunState,
	}
	return nil
}
