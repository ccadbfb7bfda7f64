package courier

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"vanillalug.example/reception"
)

const (
	// IdempotencyHeader carries the idempotency key of a call, which is run at
	// most once.
	IdempotencyHeader = "Idempotency-Key"
	// WorkspaceHeader carries the caller's workspace to a target.
	WorkspaceHeader = "Vanillalug-Workspace"
	// MaxResponseBytes limits the body of a service's response.
	MaxResponseBytes = 8 << 20
)

// Service is a client of application services. The target is at the given
// address.
type Service interface {
	// Call sends a call to a target and reads the complete response. It returns
	// an *UnsentError if certainly no byte was sent.
	Call(ctx context.Context, address string, c ServiceCall) (ServiceResponse, error)
	// Outcome queries a target for its response to the call with an idempotency
	// key.
	Outcome(ctx context.Context, address, path, workspace, key string) (ServiceResponse, error)
	// Report returns whether a target is leaving.
	Report(ctx context.Context, address string) (Report, error)
}

// ServiceCall is a call to a target. With AtMostOnce set, it must not be sent
// twice.
type ServiceCall struct {
	Method     string
	Path       string
	Query      string
	Header     http.Header
	Body       []byte
	Workspace  string
	Key        string
	AtMostOnce bool
	// BeforeSend is called right before the first byte is sent; if it returns an
	// error, the call isn't sent.
	BeforeSend func() error
}

// ServiceResponse is the response of a target.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyLeftOut says that there was no memory for the body.
	BodyLeftOut bool
}

// HTTPService implements Service.
type HTTPService struct {
	verified *verifiedClient
	unpooled *reception.Client
	report   *reception.Client
}

// NewHTTPService returns a client of services. Calls with AtMostOnce set use
// unpooled, which opens a new connection for each, since on a pooled one the
// transport may send a request again. Other calls use pooled for targets that return
// the ids of requests.
func NewHTTPService(pooled, unpooled, report *reception.Client) *HTTPService {
	return &HTTPService{verified: newVerifiedClient(pooled, unpooled), unpooled: unpooled, report: report}
}

// Call implements Service.
func (s *HTTPService) Call(ctx context.Context, address string, c ServiceCall) (ServiceResponse, error) {
	u := url.URL{Scheme: "http", Host: address, Path: c.Path, RawQuery: c.Query}
	r, err := http.NewRequestWithContext(ctx, c.Method, u.String(), bytes.NewReader(c.Body))
	if err != nil {
		return ServiceResponse{}, &UnsentError{cause: err}
	}
	r.Header = forwardedHeaders(c.Header)
	r.Header.Set(WorkspaceHeader, c.Workspace)
	if c.Key != "" {
		r.Header.Set(IdempotencyHeader, c.Key)
	}
	send := s.verified.do
	if c.AtMostOnce {
		r.GetBody = nil
		send = s.unpooled.DoRequest
	}
	if c.BeforeSend != nil {
		if err := c.BeforeSend(); err != nil {
			return ServiceResponse{}, &UnsentError{cause: err}
		}
	}
	return roundTrip(send, r)
}

// Outcome implements Service.
func (s *HTTPService) Outcome(ctx context.Context, address, path, workspace, key string) (ServiceResponse, error) {
	u := url.URL{Scheme: "http", Host: address, Path: strings.ReplaceAll(path, "{key}", key)}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return ServiceResponse{}, fmt.Errorf("HTTPService.Outcome: %w", err)
	}
	r.Header.Set(WorkspaceHeader, workspace)
	a, err := roundTrip(s.verified.do, r)
	if err == nil && a.Status != http.StatusOK {
		return ServiceResponse{}, &StatusError{status: a.Status}
	}
	return a, err
}

// Report implements Service.
func (s *HTTPService) Report(ctx context.Context, address string) (Report, error) {
	var b reportBody
	if err := getJSON(ctx, s.report, "http://"+address+"/report", maxReportBytes, &b); err != nil {
		return Report{}, fmt.Errorf("HTTPService.Report: %w", err)
	}
	return Report{Leaving: b.Leaving}, nil
}

func roundTrip(send func(*http.Request) (*http.Response, error), r *http.Request) (ServiceResponse, error) {
	w, err := send(r)
	if err != nil {
		return ServiceResponse{}, sendError(err)
	}
	defer func() { _ = w.Body.Close() }()
	out := ServiceResponse{Status: w.StatusCode, Header: forwardedHeaders(w.Header)}
	out.Body, err = reception.ReadResponseBody(r.Context(), w, MaxResponseBytes)
	var noRoom *reception.NoRoomError
	if errors.As(err, &noRoom) {
		out.BodyLeftOut = true
		return out, nil
	}
	if err != nil {
		return ServiceResponse{}, fmt.Errorf("roundTrip: %w", err)
	}
	return out, nil
}

// hopByHopHeaders apply to one connection and are not forwarded. Authorization
// holds the caller's key, which isn't forwarded either.
var hopByHopHeaders = []string{
	"Authorization", "Connection", "Content-Length", "Expect", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		out.Del(strings.TrimSpace(name))
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
