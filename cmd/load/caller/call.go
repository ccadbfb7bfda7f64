package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"vanillalug.example"
	"vanillalug.example/reception"
)

// Call is one call to an application service.
type Call struct {
	Router         string
	Key            string
	Method         string
	Path           string
	Body           string
	IdempotencyKey string
}

// Response is the answer to a call.
type Response struct {
	Status   int
	RunState vanillalug.RunState
	Replayed bool
	Body     string
	Header   http.Header
	Problem  *vanillalug.Problem
	Err      error
}

// Call sends a call to an application service.
func (c *Caller) Call(ctx context.Context, q Call) Response {
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+q.Router+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return Response{Err: err}
	}
	r.Header.Set("Authorization", "Bearer "+q.Key)
	if q.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	w, err := c.client.Do(r)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := io.ReadAll(w.Body)
	a := Response{
		Status:   w.StatusCode,
		RunState: vanillalug.RunState(w.Header.Get(reception.RunStateHeader)),
		Replayed: w.Header.Get("Idempotent-Replayed") != "",
		Body:     strings.TrimSpace(string(raw)),
		Header:   w.Header,
		Err:      err,
	}
	if w.Header.Get("Content-Type") == vanillalug.ProblemType {
		var p vanillalug.Problem
		a.Err = json.Unmarshal(raw, &p)
		a.Problem = &p
	}
	return a
}
