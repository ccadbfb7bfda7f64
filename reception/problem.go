package reception

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"vanillalug.example"
)

// RunStateHeader carries the run state of every answer to a caller.
const RunStateHeader = "Vanillalug-Run-State"

// WriteProblem answers a request with a problem.
func WriteProblem(w http.ResponseWriter, p *vanillalug.Problem) {
	h := w.Header()
	h.Set("Content-Type", vanillalug.ProblemType)
	h.Set(RunStateHeader, string(p.RunState()))
	if p.RetryAfter() > 0 {
		seconds := int(math.Ceil(p.RetryAfter().Seconds()))
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(p.Status())
	_ = json.NewEncoder(w).Encode(p)
}

// WriteJSON answers a request with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// RetryAfter reads the Retry-After header in seconds, 0 where there is none.
func RetryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
