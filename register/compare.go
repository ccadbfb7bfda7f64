package register

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Change is one key of a document that differs. An old or new value that is
// empty means that the key is missing there.
type Change struct {
	section string
	key     string
	old     string
	new     string
}

// Section returns the title of the section.
func (c Change) Section() string { return c.section }

// Key returns the key.
func (c Change) Key() string { return c.key }

// Old returns the value before.
func (c Change) Old() string { return c.old }

// New returns the value after.
func (c Change) New() string { return c.new }

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.old == "":
		return fmt.Sprintf("+ [%s] %s = %s", c.section, c.key, c.new)
	case c.new == "":
		return fmt.Sprintf("- [%s] %s = %s", c.section, c.key, c.old)
	}
	return fmt.Sprintf("~ [%s] %s = %s (was %s)", c.section, c.key, c.new, c.old)
}

// Diff returns the changes between two canonical documents, in order of
// section and key.
func Diff(before, after []byte) []Change {
	x, y := values(before), values(after)
	var out []Change
	for at, v := range x {
		if y[at] != v {
			out = append(out, Change{section: at.section, key: at.key, old: v, new: y[at]})
		}
	}
	for at, v := range y {
		if _, ok := x[at]; !ok {
			out = append(out, Change{section: at.section, key: at.key, new: v})
		}
	}
	slices.SortFunc(out, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.section, b.section), cmp.Compare(a.key, b.key))
	})
	return out
}

// position is where a value stands.
type position struct {
	section string
	key     string
}

// values reads a canonical document, which has one "key = value" a line.
func values(text []byte) map[position]string {
	out := map[position]string{}
	section := ""
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[]")
			continue
		}
		if key, value, ok := strings.Cut(line, " = "); ok {
			out[position{section: section, key: key}] = value
		}
	}
	return out
}
