package form

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// File is a parsed INI file with the faults found in it so far.
type File struct {
	name     string
	sections []*Section
	faults   []ValidationError
}

// Read parses an INI file. The name is used in faults only.
// It returns a *FaultsError when the text is not INI at all.
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
		return nil, NewInvalidFileError([]ValidationError{NewValidationError(name, "", "", "is not INI: "+err.Error())})
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
			f.AddError("", raw.Keys()[0].Name(), "stands before the first section")
		}
		return
	}
	if seen[title] {
		f.AddError(title, "", "stands twice")
		return
	}
	seen[title] = true
	f.sections = append(f.sections, newSection(f, raw))
}

// Name returns the name of the file.
func (f *File) Name() string { return f.name }

// Sections returns the sections of the kind in the order of the file.
func (f *File) Sections(kind string) []*Section {
	var out []*Section
	for _, s := range f.sections {
		if s.kind == kind {
			s.known = true
			out = append(out, s)
		}
	}
	return out
}

// Single returns the single section of the kind. A missing one is empty, so
// that its getters give defaults and report required keys.
func (f *File) Single(kind string) *Section {
	all := f.Sections(kind)
	if len(all) == 0 {
		return &Section{file: f, kind: kind, title: kind, asked: map[string]bool{}, known: true}
	}
	for _, s := range all[1:] {
		f.AddError(s.title, "", fmt.Sprintf("only one [%s] is allowed", kind))
	}
	return all[0]
}

// AddError records a fault.
func (f *File) AddError(section, key, reason string) {
	f.faults = append(f.faults, NewValidationError(f.name, section, key, reason))
}

// Err returns a *FaultsError with every fault, unknown sections and unknown
// keys included, or nil.
func (f *File) Err() error {
	faults := append([]ValidationError(nil), f.faults...)
	for _, s := range f.sections {
		faults = append(faults, s.unknown()...)
	}
	return NewInvalidFileError(faults)
}

func splitTitle(title string) (kind, name string) {
	kind, name, _ = strings.Cut(title, " ")
	return kind, strings.TrimSpace(name)
}
