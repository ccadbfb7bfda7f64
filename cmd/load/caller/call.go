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

// Call is a request to an application service.
type Call struct {
	Router         string
	Key            string
	Method         string
	Path           string
	Body           string
	IdempotencyKey string
}

// Response is the response to a Call. Err is set if the request failed or the
// problem document is invalid.
type Response struct {
	Status   int
	RunState vanillalug.RunState
	Replayed bool
	Body     string
	Header   http.Header
	Problem  *vanillalug.Problem
	Err      error
}

// Call sends a request to an application service and reads the response.
func (c *Caller) Call(ctx context.Context, call Call) Response {
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Router+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Response{Err: err}
	}
	r.Header.Set("Authorization", "Bearer "+call.Key)
	if call.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	w, err := c.client.Do(r)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := io.ReadAll(w.Body)
	response := Response{
		Status:   w.StatusCode,
		RunState: vanillalug.RunState(w.Header.Get(reception.RunStateHeader)),
		Replayed: w.Header.Get("Idempotent-Replayed") != "",
		Body:     strings.TrimSpace(string(raw)),
		Header:   w.Header,
		Err:      err,
	}
	if w.Header.Get("Content-Type") == vanillalug.ProblemType {
		var p vanillalug.Problem
		response.Err = json.Unmarshal(raw, &p)
		response.Problem = &p
	}
	return response
}
