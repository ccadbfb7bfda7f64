// Package service is a stand-in for an application service: it counts the
// effects of each idempotency key and remembers their outcomes.
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
)

// Service is one application worker. It does not check for repeated keys: an
// effect happens each time that a call reaches it.
type Service struct {
	mu       sync.Mutex
	name     string
	panel    *fault.Injector
	effects  map[string]int
	outcomes map[string]answerBody
}

// answerBody is the answer to a call.
type answerBody struct {
	Worker string `json:"worker"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Effect int    `json:"effect"`
	Echo   string `json:"echo"`
}

// New returns a worker with no effects yet.
func New(name string) *Service {
	return &Service{
		name:     name,
		panel:    fault.NewInjector(nil),
		effects:  map[string]int{},
		outcomes: map[string]answerBody{},
	}
}

// Register adds the worker to a server.
func (s *Service) Register(server *reception.Server) {
	s.panel.Register(server)
	server.Handle(http.MethodGet, "/effects", s.getEffects)
	server.Handle(http.MethodGet, "/report", s.report)
	server.Handle(http.MethodGet, "/outcomes/", s.getOutcome)
	server.Handle("", "/", s.call)
}

func (s *Service) report(w http.ResponseWriter, r *http.Request) {
	s.panel.OnRequest(r)
	reception.WriteJSON(w, http.StatusOK, map[string]bool{"leaving": s.panel.Current().Leaving})
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	if s.panel.Consume(func(f *fault.Faults) *int { return &f.AbortBeforeEffect }) {
		fault.Abort()
	}
	s.panel.OnRequest(r)
	if s.panel.Consume(func(f *fault.Faults) *int { return &f.Unavailable }) {
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		fault.Abort()
	}
	answer := s.effect(r, string(body))
	if s.panel.Current().Redirect {
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		return
	}
	if s.panel.Consume(func(f *fault.Faults) *int { return &f.LoseResponses }) {
		fault.Abort()
	}
	if s.panel.Consume(func(f *fault.Faults) *int { return &f.StallStreams }) {
		<-r.Context().Done()
		return
	}
	w.Header().Set("X-Worker", s.name)
	reception.WriteJSON(w, http.StatusCreated, answer)
}

func (s *Service) effect(r *http.Request, echo string) answerBody {
	id := r.Header.Get(workspaceHeader) + "/" + r.Header.Get(keyHeader)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects[id]++
	a := answerBody{
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

// getOutcome tells the outcome of a call by its idempotency key.
func (s *Service) getOutcome(w http.ResponseWriter, r *http.Request) {
	s.panel.OnRequest(r)
	key := strings.TrimPrefix(r.URL.Path, "/outcomes/")
	s.mu.Lock()
	a, ok := s.outcomes[r.Header.Get(workspaceHeader)+"/"+key]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "not known", http.StatusNotFound)
		return
	}
	reception.WriteJSON(w, http.StatusOK, a)
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
