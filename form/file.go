package form

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// File is a parsed INI file with the errors found in it so far.
type File struct {
	name     string
	sections []*Section
	errors   []ValidationError
}

// Read parses an INI file. The name is used in errors only.
// It returns an *InvalidFileError if the text is not valid INI.
func Read(name string, text []byte) (*File, error) {
	opts := ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		SkipUnrecognizableLines:    false,
		IgnoreInlineComment:        true,
	}
	raw, err := ini.LoadSources(opts, text)
	if err != nil {
		return nil, NewInvalidFileError([]ValidationError{NewValidationError(name, "", "", "is not valid INI: "+err.Error())})
	}
	f := &File{name: name}
	seen := map[string]bool{}
	for _, s := range raw.Sections() {
		f.add(s, seen)
	}
	return f, nil
}

func (f *File) add(raw *ini.Section, seen map[string]bool) {
	title := raw.Name()
	if title == ini.DefaultSection {
		if len(raw.Keys()) > 0 {
			f.AddError("", raw.Keys()[0].Name(), "appears before the first section")
		}
		return
	}
	if seen[title] {
		f.AddError(title, "", "is defined twice")
		return
	}
	seen[title] = true
	f.sections = append(f.sections, newSection(f, raw))
}

// Name returns the name of the file.
func (f *File) Name() string { return f.name }

// Sections returns the sections of the kind, in the order of the file.
func (f *File) Sections(kind string) []*Section {
	var out []*Section
	for _, s := range f.sections {
		if s.kind == kind {
			s.requested = true
			out = append(out, s)
		}
	}
	return out
}

// Single returns the only section of the kind. If it is missing, Single returns
// an empty one, whose getters return defaults and report required keys.
func (f *File) Single(kind string) *Section {
	all := f.Sections(kind)
	if len(all) == 0 {
		return &Section{file: f, kind: kind, title: kind, requestedKeys: map[string]bool{}, requested: true}
	}
	for _, s := range all[1:] {
		f.AddError(s.title, "", fmt.Sprintf("only one [%s] is allowed", kind))
	}
	return all[0]
}

// AddError records a validation error.
func (f *File) AddError(section, key, reason string) {
	f.errors = append(f.errors, NewValidationError(f.name, section, key, reason))
}

// Err returns an *InvalidFileError with all errors, including unknown sections and
// keys, or nil.
func (f *File) Err() error {
	errors := append([]ValidationError(nil), f.errors...)
	for _, s := range f.sections {
		errors = append(errors, s.unknownKeys()...)
	}
	return NewInvalidFileError(errors)
}

func splitTitle(title string) (kind, name string) {
	kind, name, _ = strings.Cut(title, " ")
	return kind, strings.TrimSpace(name)
}
