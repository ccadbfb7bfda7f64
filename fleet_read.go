package vanillalug

import (
	"fmt"
	"regexp"
	"slices"

	"vanillalug.example/form"
)

const (
	defaultLoadBound      = 1.25
	minLoadBound          = 1.05
	maxLoadBound          = 10
	defaultLoadBoundFloor = 4
	defaultRetryRatio     = 0.1
	maxRetryRatio         = 1
	maxRulesLevel         = 1000

	// MaxDocumentBytes is the maximum size of a fleet document.
	MaxDocumentBytes = 1 << 20
)

var validName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// ReadFleet parses and validates a fleet document. All validation errors are
// returned in one *form.InvalidFileError. The file name is used in errors only.
func ReadFleet(file string, text []byte) (*Fleet, error) {
	if len(text) > MaxDocumentBytes {
		reason := fmt.Sprintf("is %d bytes: want %d at most", len(text), MaxDocumentBytes)
		return nil, form.NewInvalidFileError([]form.ValidationError{form.NewValidationError(file, "", "", reason)})
	}
	in, err := form.Read(file, text)
	if err != nil {
		return nil, err
	}
	f := &Fleet{}
	f.readFleetSection(in.Single("fleet"))
	f.places = readAll(in, "place", readPlace)
	f.classes = readAll(in, "class", readClass)
	f.services = readAll(in, "service", readService)
	f.engines = readAll(in, "engine", readEngine)
	f.targets = readAll(in, "target", readTarget)
	f.workspaces = readAll(in, "workspace", readWorkspace)
	f.readCalls(in)
	f.checkRulesLevel(in)
	f.checkReferences(in)
	f.checkKeys(in)
	if err := in.Err(); err != nil {
		return nil, err
	}
	f.index()
	return f, nil
}

func (f *Fleet) readFleetSection(s *form.Section) {
	f.name = s.Required("name")
	f.rulesLevel = s.Int("rules-level", LowestRulesLevel, 1, maxRulesLevel)
	f.loadBound = s.Float("bound", defaultLoadBound, minLoadBound, maxLoadBound)
	f.loadBoundFloor = s.Int("bound-floor", defaultLoadBoundFloor, 1, maxSlots)
	f.retryRatio = s.Float("retry-share", defaultRetryRatio, 0, maxRetryRatio)
}

func readAll[T any](in *form.File, kind string, read func(*form.Section) T) map[string]T {
	out := map[string]T{}
	for _, s := range in.Sections(kind) {
		if !validName.MatchString(s.Name()) {
			s.AddError("", "want a name of small letters, digits, dots and hyphens, 63 at most")
		}
		out[s.Name()] = read(s)
	}
	return out
}

func (f *Fleet) readCalls(in *form.File) {
	calls := readAll(in, "call", readCall)
	for _, s := range in.Sections("call") {
		c := calls[s.Name()]
		if _, ok := f.services[c.service]; !ok && c.service != "" {
			s.AddError("service", fmt.Sprintf("%q is not a declared service", c.service))
		}
	}
	for _, c := range sortedValues(calls) {
		if owner, ok := f.services[c.service]; ok {
			owner.calls = append(slices.Clip(owner.calls), c)
			f.services[c.service] = owner
		}
	}
}

func (f *Fleet) checkReferences(in *form.File) {
	for _, s := range in.Sections("engine") {
		f.checkPlace(s, f.engines[s.Name()].place)
	}
	for _, s := range in.Sections("target") {
		t := f.targets[s.Name()]
		f.checkPlace(s, t.place)
		f.checkService(s, "service", t.service)
	}
	for _, s := range in.Sections("workspace") {
		f.checkWorkspace(s, f.workspaces[s.Name()])
	}
}

func (f *Fleet) checkWorkspace(s *form.Section, w Workspace) {
	if _, ok := f.classes[w.class]; !ok && w.class != "" {
		s.AddError("class", fmt.Sprintf("%q is not a declared class", w.class))
	}
	models := f.Models()
	for _, m := range w.models {
		if !slices.Contains(models, m) {
			s.AddError("models", fmt.Sprintf("%q is served by no engine", m))
		}
	}
	for _, name := range w.services {
		f.checkService(s, "services", name)
	}
}

func (f *Fleet) checkPlace(s *form.Section, name string) {
	if _, ok := f.places[name]; !ok && name != "" {
		s.AddError("place", fmt.Sprintf("%q is not a declared place", name))
	}
}

func (f *Fleet) checkService(s *form.Section, key, name string) {
	if _, ok := f.services[name]; !ok && name != "" {
		s.AddError(key, fmt.Sprintf("%q is not a declared service", name))
	}
}

func (f *Fleet) checkKeys(in *form.File) {
	f.workspaceByKeyDigest = map[string]string{}
	for _, s := range in.Sections("workspace") {
		w := f.workspaces[s.Name()]
		if other, ok := f.workspaceByKeyDigest[w.keyDigest]; ok && w.keyDigest != "" {
			s.AddError("key-sha256", fmt.Sprintf("is the key of workspace %q too", other))
		}
		f.workspaceByKeyDigest[w.keyDigest] = w.name
	}
	for _, s := range in.Sections("service") {
		if s.Name() == "v1" {
			s.AddError("", `"v1" is taken by the chat API`)
		}
	}
}
