package handlers

import (
	"net/http"
	"time"

	"vanillalug.example"
	"vanillalug.example/reception"
)

const (
	// serviceBodyCopies is how often a service call holds its body.
	serviceBodyCopies = 1
	// chatBodyCopies is how often a chat holds its body: as it came, its fields, its messages and
	// the body for the engine.
	chatBodyCopies = 4
	memoryRetry    = time.Second
)

// readBody reads the body of a request, which is charged with as many copies of it as its handler
// makes.
func (c *CallerAPI) readBody(w http.ResponseWriter, r *http.Request, copies int) ([]byte, *vanillalug.Problem) {
	body, err := reception.ReadRequestBody(w, r, int64(c.limits.MaxBodyBytes), time.Time{})
	if err == nil && !reception.HoldBody(r, (copies-1)*len(body)) {
		return nil, noMemory()
	}
	if err == nil {
		return body, nil
	}
	w.Header().Set("Connection", "close")
	switch reception.BodyStatus(err) {
	case http.StatusRequestEntityTooLarge:
		return nil, vanillalug.NewProblem(http.StatusRequestEntityTooLarge, "body-too-large",
			"the body is over the limit of the router", vanillalug.WithField("body"))
	case http.StatusServiceUnavailable:
		return nil, noMemory()
	case http.StatusRequestTimeout:
		return nil, vanillalug.NewProblem(http.StatusRequestTimeout, "body-too-slow",
			"the body did not arrive while the router needed its memory", vanillalug.WithField("body"))
	default:
		return nil, vanillalug.NewProblem(http.StatusBadRequest, "bad-request",
			"the body could not be read", vanillalug.WithField("body"))
	}
}

func noMemory() *vanillalug.Problem {
	return vanillalug.NewProblem(http.StatusServiceUnavailable, "no-memory",
		"the router has no memory for the body", vanillalug.WithRetryAfter(memoryRetry))
}
