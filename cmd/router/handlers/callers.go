package handlers

import (
	"net/http"
	"strings"
	"time"

	"vanillalug.example"
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/cmd/router/meter"
	"vanillalug.example/cmd/router/office"
	"vanillalug.example/reception"
)

// ReplayedHeader marks a response that was recorded for an earlier call with
// the same idempotency key.
const ReplayedHeader = "Idempotent-Replayed"

// CallerAPI serves the HTTP API for callers.
type CallerAPI struct {
	router *office.Router
	limits Limits
}

// Limits are the limits of the caller listener.
type Limits struct {
	// MaxBodyBytes and MaxHeaderBytes limit one request.
	MaxBodyBytes   int
	MaxHeaderBytes int
	// MaxConns limits the open connections; OpenConns returns their number.
	MaxConns  int
	OpenConns func() int64
}

// NewCallerAPI returns the handlers of the caller listener. A request over the
// limits is rejected with a problem.
func NewCallerAPI(router *office.Router, limits Limits) *CallerAPI {
	return &CallerAPI{router: router, limits: limits}
}

// Register adds the handlers to a server.
func (c *CallerAPI) Register(s *reception.Server) {
	s.Handle(http.MethodPost, "/v1/chat/completions", c.authenticated(c.chat))
	s.Handle(http.MethodGet, "/v1/models", c.authenticated(c.models))
	s.Handle(http.MethodGet, "/healthz", c.health)
	s.Handle(http.MethodGet, "/readyz", c.ready)
	s.Handle("", "/", c.authenticated(c.callService))
}

// handler serves a request of a workspace. It returns a problem instead of
// writing one.
type handler func(http.ResponseWriter, *http.Request, vanillalug.Workspace) *vanillalug.Problem

// authenticated wraps a handler: it finds the workspace of the caller's key,
// limits the body, writes problems and counts responses.
func (c *CallerAPI) authenticated(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if c.router.Draining() {
			// The caller's next request goes to another router.
			w.Header().Set("Connection", "close")
		}
		ws, p := c.authenticate(w, r)
		if p == nil {
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

// authenticate checks the limits that apply before the body is read, and
// returns the workspace of the key.
func (c *CallerAPI) authenticate(w http.ResponseWriter, r *http.Request) (vanillalug.Workspace, *vanillalug.Problem) {
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
	f := c.router.Fleet()
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

func (c *CallerAPI) ready(w http.ResponseWriter, _ *http.Request) { writeReady(w, c.router) }

func writeReady(w http.ResponseWriter, router *office.Router) {
	ok, reason := router.Ready()
	if ok {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
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
	f := c.router.Fleet()
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

// callService forwards a call to the service named by the first segment of the
// path.
func (c *CallerAPI) callService(w http.ResponseWriter, r *http.Request, ws vanillalug.Workspace) *vanillalug.Problem {
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	s, ok := c.router.Fleet().Service(name)
	if !ok || !ws.MayUseService(name) {
		return vanillalug.NewProblem(http.StatusNotFound, "no-such-service",
			"the first segment of the path is not a service of this workspace", vanillalug.WithField("path"))
	}
	body, p := c.readBody(w, r, serviceBodyCopies)
	if p != nil {
		return p
	}
	key := r.Header.Get(courier.IdempotencyHeader)
	if len(key) > maxKeyBytes {
		return vanillalug.NewProblem(http.StatusBadRequest, "bad-request",
			"the key is longer than 255 bytes", vanillalug.WithField(courier.IdempotencyHeader))
	}
	response, p := c.router.ServeCall(r.Context(), office.Call{
		Workspace: ws, Service: s, Method: r.Method, Path: "/" + path, Query: r.URL.RawQuery,
		Header: r.Header, Body: body, IdempotencyKey: key,
	})
	if p != nil {
		return p
	}
	writeResponse(w, r, response)
	return nil
}

// maxKeyBytes limits an idempotency key.
const maxKeyBytes = 255

func writeResponse(w http.ResponseWriter, r *http.Request, response office.Response) {
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	h.Set(reception.RunStateHeader, string(vanillalug.RunDone))
	if response.Replayed {
		h.Set(ReplayedHeader, "true")
	}
	reception.ReleaseBody(r)
	// A body that was received for this call is charged already, one from the journal isn't.
	if response.BodyLeftOut || response.Replayed && !reception.HoldResponse(r, len(response.Body)) {
		// The call has run, so it can't be refused: the response is cut.
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}
