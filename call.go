package vanillalug

import (
	"strings"

	"vanillalug.example/form"
)

// Call declares calls of a service by method and path pattern, and whether they
// may be retried.
type Call struct {
	name      string
	service   string
	method    string
	path      string
	retryable bool
}

// Name returns the unique name of the declaration.
func (c Call) Name() string { return c.name }

// Service returns the name of the service.
func (c Call) Service() string { return c.service }

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// Path returns the path pattern relative to the service, such as /clients/*.
func (c Call) Path() string { return c.path }

// Retryable reports whether the calls are idempotent, so that they may be retried.
func (c Call) Retryable() bool { return c.retryable }

// Matches reports whether the declaration applies to the method and path.
// A segment * matches any one segment; a last segment ** matches the rest.
func (c Call) Matches(method, path string) bool {
	if c.method != method {
		return false
	}
	want := strings.Split(strings.Trim(c.path, "/"), "/")
	have := strings.Split(strings.Trim(path, "/"), "/")
	for i, w := range want {
		if w == "**" && i == len(want)-1 {
			return true
		}
		if i >= len(have) {
			return false
		}
		if w != "*" && w != have[i] {
			return false
		}
	}
	return len(have) == len(want)
}

func readCall(s *form.Section) Call {
	c := Call{
		name:      s.Name(),
		service:   s.Required("service"),
		method:    s.Required("method"),
		path:      s.Required("path"),
		retryable: s.Bool("repeatable", false),
	}
	if c.method != strings.ToUpper(c.method) {
		s.AddError("method", "want an HTTP method in capitals, such as POST")
	}
	if c.path != "" && !strings.HasPrefix(c.path, "/") {
		s.AddError("path", "want a path that starts with /")
	}
	return c
}
