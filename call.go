package vanillalug

import (
	"strings"

	"vanillalug.example/form"
)

// Call declares which calls of a service may be repeated.
type Call struct {
	name       string
	service    string
	method     string
	path       string
	repeatable bool
}

// Name returns the unique name of the call.
func (c Call) Name() string { return c.name }

// Service returns the name of the service.
func (c Call) Service() string { return c.service }

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// Path returns the path pattern below the service, such as /clients/*.
func (c Call) Path() string { return c.path }

// Retryable reports whether the call is idempotent.
func (c Call) Retryable() bool { return c.repeatable }

// Matches reports whether the declaration is about the method and path.
// A segment * covers any one segment; a last segment ** covers the rest.
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
		name:       s.Name(),
		service:    s.Required("service"),
		method:     s.Required("method"),
		path:       s.Required("path"),
		repeatable: s.Bool("repeatable", false),
	}
	if c.method != strings.ToUpper(c.method) {
		s.AddError("method", "want an HTTP method in capitals, such as POST")
	}
	if c.path != "" && !strings.HasPrefix(c.path, "/") {
		s.AddError("path", "want a path that starts with /")
	}
	return c
}
