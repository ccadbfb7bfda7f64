package probation

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"vanillalug.example/cmd/router/channel"
	"vanillalug.example/crew"
	"vanillalug.example/platform"
	"vanillalug.example/reception"
)

const (
	// queryTimeout is how long a target may take to respond to one query.
	queryTimeout = time.Second
	// maxReportBytes bounds the report of a target.
	maxReportBytes = 256 << 10
)

// NoHealthCheckError is returned for a service without a health check.
type NoHealthCheckError struct{ service string }

// Service returns the name of the service.
func (e *NoHealthCheckError) Service() string { return e.service }

// Error implements error.
func (e *NoHealthCheckError) Error() string { return "service " + e.service + " has no health check" }

// NotFromTargetError is returned for a response that doesn't come from the target that was asked.
type NotFromTargetError struct {
	id     string
	status int
}

// Status returns the HTTP status.
func (e *NotFromTargetError) Status() int { return e.status }

// Error implements error.
func (e *NotFromTargetError) Error() string {
	return fmt.Sprintf("status %d, not from the target %s", e.status, e.id)
}

// Prober asks targets.
type Prober struct{ dial channel.DialFunc }

// NewProber returns a Prober that opens connections to targets by dial.
func NewProber(dial channel.DialFunc) *Prober { return &Prober{dial: dial} }

// Question is what a target is asked.
type Question struct {
	Target crew.Target
	// HealthPath is the path of the service's health checks; "" if it has none.
	HealthPath string
	// Run says that the target has to state its start as well, as its entry may be of an earlier run.
	Run bool
}

// Ask asks a target whether it serves.
func (p *Prober) Ask(ctx context.Context, q Question) Answer {
	if q.HealthPath == "" {
		return Silent{Cause: &NoHealthCheckError{service: q.Target.Service()}}
	}
	health, _, err := p.query(ctx, q.Target, platform.HealthRequest(q.Target.Address(), q.HealthPath, q.Target.ID()), 0)
	switch {
	case err != nil:
		return Silent{Cause: err}
	case !health.From(q.Target.ID()):
		return Silent{Cause: &NotFromTargetError{id: q.Target.ID(), status: health.Status()}}
	case health.Leaving():
		return Leaves{}
	case !health.Healthy():
		return Unhealthy{}
	case q.Run:
		return p.askRun(ctx, q.Target)
	}
	return Serves{}
}

// askRun asks a target that serves for the start of its run. A target that states none is of a run whose entry states
// none, either.
func (p *Prober) askRun(ctx context.Context, t crew.Target) Answer {
	response, body, err := p.query(ctx, t, platform.ReportRequest(t.Address(), t.ID()), maxReportBytes)
	if err != nil {
		return Silent{Cause: err}
	}
	if response.Leaving() {
		return Leaves{}
	}
	startMillis := int64(0)
	if response.Status() == http.StatusOK {
		startMillis = platform.DecodeReportedStart(body)
	}
	if startMillis != t.StartMillis() {
		return OtherRun{StartMillis: startMillis}
	}
	return Serves{}
}

// query sends a request to a target on a connection of its own, and returns the head of the response with its body of at
// most maxBody bytes; with 0 the body isn't read.
func (p *Prober) query(ctx context.Context, t crew.Target, request []byte, maxBody int) (head platform.Response, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	conn, err := channel.NewPool(t.Address(), p.dial).Get(ctx, time.Time{}, channel.Limits{New: true})
	if err != nil {
		return platform.Response{}, nil, fmt.Errorf("Prober.query: %w", err)
	}
	defer conn.Discard()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	if _, err := conn.Write(request); err != nil {
		return platform.Response{}, nil, fmt.Errorf("Prober.query: %w", err)
	}
	response, err := conn.ReadResponse(http.MethodGet, nil)
	if err != nil {
		return platform.Response{}, nil, fmt.Errorf("Prober.query: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if maxBody == 0 {
		return platform.ReadResponse(response), nil, nil
	}
	body, err = reception.ReadBody(response.Body, maxBody)
	if err != nil {
		return platform.Response{}, nil, fmt.Errorf("Prober.query: %w", err)
	}
	return platform.ReadResponse(response), body, nil
}
