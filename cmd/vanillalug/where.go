package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"vanillalug.example/platform"
	"vanillalug.example/reception"
	"vanillalug.example/where"
)

const usageWhere = `vanillalug where -router ADDRESS [flags] METHOD PATH

Where asks one router on the users' platform where a request would go if it came
now, and why. Nothing is sent to a target, and the router's state stays as it is.
ADDRESS is the metrics listener of the router.

It shows the route, service, workspace and priority; the targets of the service with
their load, cached prompt, estimate and predicted waits; those that are left out, with
the reason; and the target that would be chosen, or the refusal with its Retry-After.
Where the choice is a draw, it says so and shows the probabilities: the next request
may go elsewhere.

Routes with API keys need -workspace or -key. The body of the request is not known: a
request that is refused for its body or its size is not recognized.

Exit codes: 0 when the request would be sent, 1 when it would be refused, 2 for
invalid flags or a request that no caller can send, 5 when the router did not answer
or would have to ask others.
`

const (
	whereTimeout = 5 * time.Second
	// maxWhereAnswer bounds the answer that is read, in bytes: 2,000 targets have about 1 MB.
	maxWhereAnswer = 8 << 20
	maxWhereError  = 1 << 10
)

// errNoRouter is returned without -router.
var errNoRouter = errors.New("-router is required: the metrics listener of a router")

func runWhere(c *invocation) int {
	var q where.Question
	var h platform.CallerHeaders
	router := c.flags.String("router", "", "metrics listener of the router, as IP number and port")
	c.flags.StringVar(&q.Host, "host", "", "host of the request; needed if several have a route for the path")
	c.flags.StringVar(&q.Workspace, "workspace", "", "workspace whose request it is")
	c.flags.StringVar(&h.APIKey, "key", "", "API key of the request")
	c.flags.StringVar(&h.ID, "id", "", "attempt id, which decides among the services of a route")
	c.flags.DurationVar(&h.Timeout, "timeout", 0, "how long the caller waits; by default that of the route")
	c.flags.StringVar(&h.Model, "model", "", "model")
	c.flags.IntVar(&h.PromptTokens, "prompt-tokens", 0, "tokens of the prompt")
	c.flags.IntVar(&h.OutputTokens, "output-tokens", 0, "maximum of output tokens")
	c.flags.IntVar(&h.LengthHint, "length-hint", 0, "the caller's estimate of the output tokens")
	c.flags.StringVar(&h.PrefixHash, "prefix", "", "parts of the prompt as HASH:TOKENS, with commas; the last one is the request's own")
	c.flags.StringVar(&h.LastEventID, "last-event", "", "id of the last event of a stream that the request goes on with")
	c.flags.StringVar(&h.Resumes, "resumes", "", "attempt that brought the first event of that stream")
	c.addJSONFlag()
	if !c.parse(2) {
		return exitUsage
	}
	q.Method, q.URI, q.Header = c.flags.Arg(0), c.flags.Arg(1), h.Header()
	if *router == "" {
		return c.fail(exitUsage, errNoRouter)
	}
	if err := q.Validate(); err != nil {
		return c.fail(exitUsage, err)
	}
	answer, err := askWhere(*router, q)
	var invalid *questionRefusedError
	if errors.As(err, &invalid) {
		return c.fail(exitUsage, err)
	}
	if err != nil {
		return c.fail(exitUnknown, err)
	}
	if c.json {
		c.writeJSON(answer)
	} else {
		printAnswer(c.stdout, answer)
	}
	return whereExit(answer.Decision.Outcome)
}

// whereExit returns the exit code for an outcome. One that this build doesn't know counts as unknown.
func whereExit(o where.Outcome) int {
	switch o {
	case where.ToTarget, where.ToPeer:
		return 0
	case where.Refused:
		return exitFailure
	case where.Unknown:
	}
	return exitUnknown
}

// questionRefusedError reports that a router can't tell which request is meant.
type questionRefusedError struct{ text string }

// Error implements error.
func (e *questionRefusedError) Error() string { return e.text }

// askWhere asks the router.
func askWhere(address string, q where.Question) (where.Answer, error) {
	var a where.Answer
	ctx, cancel := context.WithTimeout(context.Background(), whereTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+where.Path+"?"+q.Values().Encode(), nil)
	if err != nil {
		return a, fmt.Errorf("router at %s: %w", address, err)
	}
	r.Header = q.Header
	w, err := reception.NewClient("routers").DoRequest(r)
	if err != nil {
		return a, fmt.Errorf("router at %s: %w", address, err)
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(io.LimitReader(w.Body, maxWhereError))
		if w.StatusCode == http.StatusBadRequest {
			return a, &questionRefusedError{text: string(raw)}
		}
		return a, fmt.Errorf("router at %s: status %d: %s", address, w.StatusCode, raw)
	}
	if err := json.NewDecoder(io.LimitReader(w.Body, maxWhereAnswer)).Decode(&a); err != nil {
		return a, fmt.Errorf("router at %s: no answer of a build with this command: %w", address, err)
	}
	return a, nil
}
