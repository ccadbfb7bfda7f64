package handlers

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/cmd/router/office"
	"vanillalug.example/reception"
)

// ReplayedHeader marks the recorded answer of a repeated call.
const ReplayedHeader = "Idempotent-Replayed"

// CallerAPI answers callers.
type CallerAPI struct {
	office *office.Router
	limits Limits
}

// Limits are the limits of the caller listener.
type Limits struct {
	// MaxBodyBytes and Header are in bytes.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// MaxConns is the number of open connections; Open tells how many there are.
	MaxConns  int
	OpenConns func() int64
}

// NewCallerAPI returns the handlers of the caller listener. What is over the
// limits is refused with a problem.
func NewCallerAPI(o *office.Router, limits Limits) *CallerAPI {
	return &CallerAPI{office: o, limits: limits}
}

// Register adds the handlers to a server.
func (c *CallerAPI) Register(s *reception.Server) {
	s.Handle(http.MethodPost, "/v1/chat/completions", c.guard(c.chat))
	s.Handle(http.MethodGet, "/v1/models", c.guard(c.models))
	s.Handle(http.MethodGet, "/healthz", c.health)
	s.Handle(http.MethodGet, "/readyz", c.ready)
	s.Handle("", "/", c.guard(c.service))
}

// handler answers a request of a workspace. It returns a problem instead of
// writing one.
type handler func(http.ResponseWriter, *http.Request, vanillalug.Workspace) *vanillalug.Problem

// guard finds the workspace by the caller's key and writes problems.
func (c *CallerAPI) guard(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ws, p := c.admit(w, r)
		if p == nil {
			r.Body = http.MaxBytesReader(w, r.Body, int64(c.limits.MaxBodyBytes))
			p = next(w, r, ws)
		}
		if p == nil {
			meter.CountResponse(ws.Name(), http.StatusOK, string(vanillalug.RunDone))
			return
		}
		meter.CountResponse(ws.Name(), p.Status(), string(p.RunState()))
		reception.WriteProblem(w, p)
	}
}

// admit checks the limits that hold before the body is read, and the key.
func (c *CallerAPI) admit(w http.ResponseWriter, r *http.Request) (vanillalug.Workspace, *vanillalug.Problem) {
	if headerBytes(r.Header)+len(r.RequestURI) > c.limits.MaxHeaderBytes {
		return vanillalug.Workspace{}, vanillalug.NewProblem(http.StatusRequestHeaderFieldsTooLarge,
			"header-too-large", "the header is over the limit of the router", vanillalug.WithField("header"))
	}
	if c.limits.OpenConns() > int64(c.limits.MaxConns) {
		w.Header().Set("Connection", "close")
		return vanillalug.Workspace{}, vanillalug.NewProblem(http.StatusServiceUnavailable, "too-many-connections",
			"the router has too many connections open", vanillalug.WithRetryAfter(time.Second))
	}
	return c.workspace(r)
}

func (c *CallerAPI) workspace(r *http.Request) (vanillalug.Workspace, *vanillalug.Problem) {
	f := c.office.Fleet()
	if f == nil {
		return vanillalug.Workspace{}, vanillalug.NewProblem(http.StatusServiceUnavailable,
			"router-not-ready", "no fleet document is in force yet")
	}
	ws, ok := f.WorkspaceByKey(reception.BearerToken(r))
	if !ok {
		return vanillalug.Workspace{}, vanillalug.NewProblem(http.StatusUnauthorized, "wrong-key",
			"the bearer token is not the key of a workspace", vanillalug.WithField("Authorization"))
	}
	return ws, nil
}

func (c *CallerAPI) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

func (c *CallerAPI) ready(w http.ResponseWriter, _ *http.Request) { writeReady(w, c.office) }

func writeReady(w http.ResponseWriter, o *office.Router) {
	ok, why := o.Ready()
	if ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	http.Error(w, why, http.StatusServiceUnavailable)
}

type modelsBody struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (c *CallerAPI) models(w http.ResponseWriter, _ *http.Request, ws vanillalug.Workspace) *vanillalug.Problem {
	f := c.office.Fleet()
	b := modelsBody{Object: "list", Data: []modelBody{}}
	for _, m := range f.Models() {
		if ws.MayUseModel(m) {
			b.Data = append(b.Data, modelBody{ID: m, Object: "model", OwnedBy: f.Name()})
		}
	}
	w.Header().Set(reception.RunStateHeader, string(vanillalug.RunDone))
	reception.WriteJSON(w, http.StatusOK, b)
	return nil
}

// service brings a call to the service that the first segment of the path
// names.
func (c *CallerAPI) service(w http.ResponseWriter, r *http.Request, ws vanillalug.Workspace) *vanillalug.Problem {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	s, ok := c.office.Fleet().Service(name)
	if !ok || !ws.MayUseService(name) {
		return vanillalug.NewProblem(http.StatusNotFound, "no-such-service",
			"the first segment of the path is not a service of this workspace", vanillalug.WithField("path"))
	}
	body, p := readBody(r)
	if p != nil {
		return p
	}
	key := r.Header.Get(courier.IdempotencyHeader)
	if len(key) > maxKeyBytes {
		return vanillalug.NewProblem(http.StatusBadRequest, "bad-request",
			"the key is longer than 255 bytes", vanillalug.WithField(courier.IdempotencyHeader))
	}
	a, p := c.office.ServeCall(r.Context(), office.Call{
		Workspace: ws, Service: s, Method: r.Method, Path: "/" + path, Query: r.URL.RawQuery,
		Header: r.Header, Body: body, IdempotencyKey: key,
	})
	if p != nil {
		return p
	}
	writeAnswer(w, a)
	return nil
}

// maxKeyBytes is the limit of an idempotency key.
const maxKeyBytes = 255

func writeAnswer(w http.ResponseWriter, a office.Response) {
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(reception.RunStateHeader, string(vanillalug.RunDone))
	if a.Replayed {
		h.Set(ReplayedHeader, "true")
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func readBody(r *http.Request) ([]byte, *vanillalug.Problem) {
	body, err := io.ReadAll(r.Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, vanillalug.NewProblem(http.StatusRequestEntityTooLarge, "body-too-large",
			"the body is over the limit of the router", vanillalug.WithField("body"))
	case err != nil:
		return nil, vanillalug.NewProblem(http.StatusBadRequest, "bad-request",
			"the body could not be read", vanillalug.WithField("body"))
	}
	return body, nil
}
