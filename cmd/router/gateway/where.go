package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/time/rate"

	"vanillalug.example/platform"
	"vanillalug.example/where"
)

const (
	// whereRate and whereBurst bound the explanations a second: one costs about as much as a few
	// choices.
	whereRate  = 10
	whereBurst = 10
	// maxHostsNamed bounds the hosts that an error names.
	maxHostsNamed = 10
)

// WhereHandler returns the handler of the operators' question where a request would go. It sends
// nothing and records nothing.
func (g *Gateway) WhereHandler() http.Handler {
	limiter := rate.NewLimiter(whereRate, whereBurst)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method != http.MethodGet:
			http.Error(w, "want GET", http.StatusMethodNotAllowed)
			return
		case !limiter.Allow():
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many questions", http.StatusTooManyRequests)
			return
		}
		q, err := where.ReadQuestion(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := g.Where(q)
		if err != nil {
			http.Error(w, err.Error(), statusOf(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(answer); err != nil {
			g.log.Debug("an operator disconnected before the answer", "error", err)
		}
	})
}

func statusOf(err error) int {
	var invalid *where.InvalidQuestionError
	if errors.As(err, &invalid) {
		return http.StatusBadRequest
	}
	return http.StatusInternalServerError
}

// Where returns where a request would go if it came now, and why. It returns a
// *where.InvalidQuestionError if the routing table lacks what the question names.
func (g *Gateway) Where(q where.Question) (where.Answer, error) {
	q, err := g.completeQuestion(q)
	if err != nil {
		return where.Answer{}, err
	}
	return g.newExplanation(q).answer(), nil
}

// completeQuestion adds the host, if it is not stated and only one has a route for the path, and an API
// key of the workspace, so that the request is classified as one of a caller is.
func (g *Gateway) completeQuestion(q where.Question) (where.Question, error) {
	active := g.table.Load()
	if active == nil {
		return q, nil
	}
	if q.Host == "" {
		hosts := active.table.HostsOf(q.URLPath())
		if len(hosts) > 1 {
			return q, &where.InvalidQuestionError{Parameter: "host", Problem: "is required, as " + strconv.Itoa(len(hosts)) +
				" hosts have a route for the path: " + strings.Join(hosts[:min(len(hosts), maxHostsNamed)], ", ")}
		}
		q.Host = strings.Join(hosts, "")
	}
	if q.Workspace == "" {
		return q, nil
	}
	workspace, ok := active.table.Workspace(q.Workspace)
	if !ok {
		return q, &where.InvalidQuestionError{Parameter: "workspace", Problem: "is not in the routing table"}
	}
	if len(workspace.Keys()) == 0 {
		return q, &where.InvalidQuestionError{Parameter: "workspace", Problem: "has no API key"}
	}
	q.Header = q.Header.Clone()
	if q.Header == nil {
		q.Header = http.Header{}
	}
	platform.SetAPIKey(q.Header, workspace.Keys()[0])
	return q, nil
}
