package reception

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"vanillalug.example"
)

// RunStateHeader is the header with the run state in every response to a caller.
const RunStateHeader = "Vanillalug-Run-State"

// WriteProblem writes a problem as the response.
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

// WriteJSON writes a response with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// RetryAfter parses the Retry-After header, which is in seconds. It returns 0 if
// the header is missing or invalid.
func RetryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
