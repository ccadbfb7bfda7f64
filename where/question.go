package where

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
)

// Path is the path of the endpoint on the router's metrics listener.
const Path = "/where"

// Query parameters of the endpoint. What the request itself would have in its headers is in the headers
// of the question.
const (
	paramMethod    = "method"
	paramPath      = "path"
	paramHost      = "host"
	paramWorkspace = "workspace"
)

const (
	// maxMethod and maxName bound the method, the host and the workspace, in bytes. The path is bounded
	// by the listener's limit of a head.
	maxMethod = 32
	maxName   = 253
)

// Question is a request that isn't sent.
type Question struct {
	// Method is the HTTP method.
	Method string
	// URI is the path, with the query if there is one.
	URI string
	// Host is the host without port; "" for the only one with a route for the path.
	Host string
	// Workspace is the workspace whose request it is; "" for that of the API key in Header, if any.
	Workspace string
	// Header has the headers of the request.
	Header http.Header
}

// InvalidQuestionError reports a question that describes no request.
type InvalidQuestionError struct {
	// Parameter is the query parameter at fault.
	Parameter string
	Problem   string
}

// Error implements error.
func (e *InvalidQuestionError) Error() string { return fmt.Sprintf("%s: %s", e.Parameter, e.Problem) }

// Values returns the query parameters that ask the question.
func (q Question) Values() url.Values {
	v := url.Values{paramMethod: {q.Method}, paramPath: {q.URI}}
	if q.Host != "" {
		v.Set(paramHost, q.Host)
	}
	if q.Workspace != "" {
		v.Set(paramWorkspace, q.Workspace)
	}
	return v
}

// ReadQuestion reads the question of a call of the endpoint. It returns an *InvalidQuestionError if it
// describes no request. The method is GET by default.
func ReadQuestion(r *http.Request) (Question, error) {
	v := r.URL.Query()
	q := Question{
		Method: v.Get(paramMethod), URI: v.Get(paramPath), Host: v.Get(paramHost), Workspace: v.Get(paramWorkspace), Header: r.Header,
	}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	return q, q.Validate()
}

// Validate returns the first fault.
func (q Question) Validate() error {
	switch {
	case !strings.HasPrefix(q.URI, "/"):
		return &InvalidQuestionError{Parameter: paramPath, Problem: "want a path that begins with a slash"}
	case strings.ContainsAny(q.URI, " \r\n\x00"):
		return &InvalidQuestionError{Parameter: paramPath, Problem: "has a character that no request line may have"}
	case len(q.Method) > maxMethod || strings.Trim(q.Method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "":
		return &InvalidQuestionError{Parameter: paramMethod, Problem: "want an HTTP method"}
	case len(q.Host) > maxName:
		return &InvalidQuestionError{Parameter: paramHost, Problem: "is too long"}
	case len(q.Workspace) > maxName:
		return &InvalidQuestionError{Parameter: paramWorkspace, Problem: "is too long"}
	}
	return nil
}

// URLPath returns the path without the query.
func (q Question) URLPath() string {
	path, _, _ := strings.Cut(q.URI, "?")
	return path
}

// Request returns the request as a caller would send it.
func (q Question) Request() *http.Request {
	return &http.Request{Method: q.Method, RequestURI: q.URI, Host: q.Host, Header: q.Header.Clone()}
}
