package form

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Section is one section of an INI file, titled "kind" or "kind name".
type Section struct {
	file  *File
	raw   *ini.Section
	kind  string
	name  string
	title string
	asked map[string]bool
	known bool
}

func newSection(f *File, raw *ini.Section) *Section {
	kind, name := splitTitle(raw.Name())
	return &Section{file: f, raw: raw, kind: kind, name: name, title: raw.Name(), asked: map[string]bool{}}
}

// Name returns the part of the title after the kind.
func (s *Section) Name() string { return s.name }

// Title returns the whole title.
func (s *Section) Title() string { return s.title }

// AddError records a fault of a key of this section.
func (s *Section) AddError(key, reason string) {
	s.file.AddError(s.title, key, reason)
}

// Has reports whether the key stands in the section.
func (s *Section) Has(key string) bool {
	return s.raw != nil && s.raw.HasKey(key)
}

// Text returns the value of the key, or def where it is missing.
func (s *Section) Text(key, def string) string {
	s.asked[key] = true
	if !s.Has(key) {
		return def
	}
	k := s.raw.Key(key)
	if len(k.ValueWithShadows()) > 1 {
		s.AddError(key, "stands twice")
	}
	return strings.TrimSpace(k.Value())
}

// Required returns the value of a key that must be there and not be empty.
func (s *Section) Required(key string) string {
	v := s.Text(key, "")
	if v == "" {
		s.AddError(key, "is required")
	}
	return v
}

// Int returns a whole number within [low, high].
func (s *Section) Int(key string, def, low, high int) int {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < low || n > high {
		s.AddError(key, fmt.Sprintf("%q: want a whole number from %d to %d", v, low, high))
		return def
	}
	return n
}

// Float returns a decimal number within [low, high].
func (s *Section) Float(key string, def, low, high float64) float64 {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= low && n <= high) {
		s.AddError(key, fmt.Sprintf("%q: want a number from %g to %g", v, low, high))
		return def
	}
	return n
}

// Duration returns a duration within [low, high], written such as "500ms".
func (s *Section) Duration(key string, def, low, high time.Duration) time.Duration {
	v := s.Text(key, "")
	if v == "" {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < low || d > high {
		s.AddError(key, fmt.Sprintf("%q: want a duration from %s to %s", v, low, high))
		return def
	}
	return d
}

// Bool returns "yes" or "no" as a boolean.
func (s *Section) Bool(key string, def bool) bool {
	switch v := s.Text(key, ""); v {
	case "":
		return def
	case "yes":
		return true
	case "no":
		return false
	default:
		s.AddError(key, fmt.Sprintf("%q: want yes or no", v))
		return def
	}
}

// Address returns a required "IP:port" address.
func (s *Section) Address(key string) string {
	v := s.Required(key)
	if v == "" {
		return ""
	}
	host, port, err := net.SplitHostPort(v)
	n, perr := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil || perr != nil || n < 0 || n > 65535 {
		s.AddError(key, fmt.Sprintf("%q: want an IP number and a port, such as 127.0.0.1:8080", v))
	}
	return v
}

// List returns the comma-separated values of the key.
func (s *Section) List(key string) []string {
	var out []string
	for v := range strings.SplitSeq(s.Text(key, ""), ",") {
		v = strings.TrimSpace(v)
		if v != "" {
			out = append(out, v)
		}
	}
	return out
}

// Choice returns a value that must be one of the allowed ones.
func (s *Section) Choice(key, def string, allowed ...string) string {
	v := s.Text(key, def)
	for _, a := range allowed {
		if v == a {
			return v
		}
	}
	s.AddError(key, fmt.Sprintf("%q: want one of %s", v, strings.Join(allowed, ", ")))
	return def
}

func (s *Section) unknown() []ValidationError {
	if !s.known {
		return []ValidationError{NewValidationError(s.file.name, s.title, "", "is not a known section")}
	}
	var out []ValidationError
	for _, k := range s.raw.KeyStrings() {
		if !s.asked[k] {
			out = append(out, NewValidationError(s.file.name, s.title, k, "is not a known key"))
		}
	}
	return out
}
