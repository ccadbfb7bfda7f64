// Package service is a simulated application service for tests: it counts how
// often each idempotency key took effect and keeps the last response for it.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"

	"vanillalug.example/cmd/standin/fault"
	"vanillalug.example/reception"
)

const (
	maxBodyBytes    = 1 << 20
	workspaceHeader = "Vanillalug-Workspace"
	keyHeader       = "Idempotency-Key"
	requestHeader   = "Vanillalug-Request-Id"
)

// Service is one application worker. It does not deduplicate by key: every call
// that reaches it takes effect, so that tests see a call that ran twice.
type Service struct {
	mu       sync.Mutex
	name     string
	faults   *fault.Injector
	effects  map[string]int
	outcomes map[string]responseBody
}

// responseBody is the response to a call. Effect is how often the key has taken
// effect.
type responseBody struct {
	Worker string `json:"worker"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Effect int    `json:"effect"`
	Echo   string `json:"echo"`
}

// New returns a worker without effects.
func New(name string) *Service {
	return &Service{
		name:     name,
		faults:   fault.NewInjector(nil),
		effects:  map[string]int{},
		outcomes: map[string]responseBody{},
	}
}

// Register adds the worker to a server.
func (s *Service) Register(server *reception.Server) {
	s.faults.Register(server)
	server.Handle(http.MethodGet, "/effects", s.getEffects)
	server.Handle(http.MethodGet, "/report", s.report)
	server.Handle(http.MethodGet, "/outcomes/", s.getOutcome)
	server.Handle("", "/", s.call)
}

func (s *Service) report(w http.ResponseWriter, r *http.Request) {
	s.faults.OnRequest(r)
	reception.WriteJSON(w, http.StatusOK, map[string]bool{"leaving": s.faults.Current().Leaving})
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	if s.faults.Consume(func(f *fault.Faults) *int { return &f.AbortBeforeEffect }) {
		fault.Abort()
	}
	s.faults.OnRequest(r)
	if s.faults.Consume(func(f *fault.Faults) *int { return &f.Unavailable }) {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		fault.Abort()
	}
	resp := s.applyEffect(r, string(body))
	if s.faults.Current().Redirect {
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		return
	}
	if s.faults.Consume(func(f *fault.Faults) *int { return &f.LoseResponses }) {
		fault.Abort()
	}
	if s.faults.Consume(func(f *fault.Faults) *int { return &f.StallStreams }) {
		<-r.Context().Done()
		return
	}
	w.Header().Set("X-Worker", s.name)
	returnRequestID(w, r)
	reception.WriteJSON(w, http.StatusCreated, resp)
}

func (s *Service) applyEffect(r *http.Request, echo string) responseBody {
	id := r.Header.Get(workspaceHeader) + "/" + r.Header.Get(keyHeader)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects[id]++
	a := responseBody{
		Worker: s.name,
		Method: r.Method,
		Path:   r.URL.RequestURI(),
		Key:    r.Header.Get(keyHeader),
		Effect: s.effects[id],
		Echo:   echo,
	}
	s.outcomes[id] = a
	return a
}

// getOutcome returns the response that a call with the idempotency key had.
func (s *Service) getOutcome(w http.ResponseWriter, r *http.Request) {
	s.faults.OnRequest(r)
	key := strings.TrimPrefix(r.URL.Path, "/outcomes/")
	s.mu.Lock()
	a, ok := s.outcomes[r.Header.Get(workspaceHeader)+"/"+key]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not known", http.StatusNotFound)
		return
	}
	returnRequestID(w, r)
	reception.WriteJSON(w, http.StatusOK, a)
}

// returnRequestID returns the id of the request, so that its connection is reused.
func returnRequestID(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(requestHeader); id != "" {
		w.Header().Set(requestHeader, id)
	}
}

func (s *Service) getEffects(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	raw, err := json.Marshal(s.effects)
	s.mu.Unlock()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}
