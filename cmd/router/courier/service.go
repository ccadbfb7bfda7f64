package courier

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"vanillalug.example/reception"
)

const (
	// IdempotencyHeader names a call so that it runs at most once.
	IdempotencyHeader = "Idempotency-Key"
	// WorkspaceHeader names the caller's workspace to a target.
	WorkspaceHeader = "Vanillalug-Workspace"
	// MaxResponseBytes is the limit of a service's answer.
	MaxResponseBytes = 8 << 20
)

// Service is what the fleet needs of an application service.
type Service interface {
	// Call sends a call to a target and reads the whole answer. An
	// *UnsentError proves that no byte was sent.
	Call(ctx context.Context, address string, c ServiceCall) (ServiceResponse, error)
	// Outcome asks a target for the answer it gave to an idempotency key.
	Outcome(ctx context.Context, address, path, workspace, key string) (ServiceResponse, error)
	// Report returns the word of a target.
	Report(ctx context.Context, address string) (Report, error)
}

// ServiceCall is a call to a target. Once says that it must not be sent twice.
type ServiceCall struct {
	Method     string
	Path       string
	Query      string
	Header     http.Header
	Body       []byte
	Workspace  string
	Key        string
	AtMostOnce bool
	// BeforeSend is asked right before the first byte is sent; an error stops it.
	BeforeSend func() error
}

// ServiceResponse is the answer of a target.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// HTTPService is the adapter of Service.
type HTTPService struct {
	pooled *reception.Client
	once   *reception.Client
	report *reception.Client
}

// NewHTTPService returns an adapter. Calls that must not be sent twice go over
// the client once, which uses a new connection for each.
func NewHTTPService(pooled, once, report *reception.Client) *HTTPService {
	return &HTTPService{pooled: pooled, once: once, report: report}
}

// Call implements Service.
func (s *HTTPService) Call(ctx context.Context, address string, c ServiceCall) (ServiceResponse, error) {
	u := url.URL{Scheme: "http", Host: address, Path: c.Path, RawQuery: c.Query}
	r, err := http.NewRequestWithContext(ctx, c.Method, u.String(), bytes.NewReader(c.Body))
	if err != nil {
		return ServiceResponse{}, &UnsentError{cause: err}
	}
	r.Header = forwarded(c.Header)
	r.Header.Set(WorkspaceHeader, c.Workspace)
	if c.Key != "" {
		r.Header.Set(IdempotencyHeader, c.Key)
	}
	client := s.pooled
	if c.AtMostOnce {
		r.GetBody = nil
		client = s.once
	}
	if c.BeforeSend != nil {
		if err := c.BeforeSend(); err != nil {
			return ServiceResponse{}, &UnsentError{cause: err}
		}
	}
	return exchange(client, r)
}

// Outcome implements Service.
func (s *HTTPService) Outcome(ctx context.Context, address, path, workspace, key string) (ServiceResponse, error) {
	u := url.URL{Scheme: "http", Host: address, Path: strings.ReplaceAll(path, "{key}", key)}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return ServiceResponse{}, fmt.Errorf("HTTPService.Outcome: %w", err)
	}
	r.Header.Set(WorkspaceHeader, workspace)
	a, err := exchange(s.pooled, r)
	if err == nil && a.Status != http.StatusOK {
		return ServiceResponse{}, &StatusError{status: a.Status}
	}
	return a, err
}

// Report implements Service.
func (s *HTTPService) Report(ctx context.Context, address string) (Report, error) {
	var b reportBody
	if err := getJSON(ctx, s.report, "http://"+address+"/report", &b); err != nil {
		return Report{}, fmt.Errorf("HTTPService.Report: %w", err)
	}
	return Report{Leaving: b.Leaving}, nil
}

func exchange(client *reception.Client, r *http.Request) (ServiceResponse, error) {
	w, err := client.DoRequest(r)
	if err != nil {
		return ServiceResponse{}, sendError(err)
	}
	defer func() { _ = w.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(w.Body, MaxResponseBytes+1))
	if err != nil {
		return ServiceResponse{}, fmt.Errorf("exchange: %w", err)
	}
	if len(body) > MaxResponseBytes {
		return ServiceResponse{}, &TooLargeError{limit: MaxResponseBytes}
	}
	return ServiceResponse{Status: w.StatusCode, Header: forwarded(w.Header), Body: body}, nil
}

// connectionHeaders belong to one connection and are not passed on, nor is
// the caller's key.
var connectionHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func forwarded(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}
