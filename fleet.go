package vanillalug

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Fleet is one validated fleet document. It is immutable.
type Fleet struct {
	name           string
	rulesLevel     int
	loadBound      float64
	loadBoundFloor int
	retryRatio     float64

	places               map[string]Place
	classes              map[string]Class
	services             map[string]Service
	engines              map[string]Engine
	targets              map[string]Target
	workspaces           map[string]Workspace
	workspaceByKeyDigest map[string]string
	engineList           []Engine
	targetList           []Target
	sharingByEngine      map[string][]Engine
	enginesByModel       map[string][]Engine
	targetsByService     map[string][]Target
	evacuated            map[string]bool
}

// Name returns the name of the fleet.
func (f *Fleet) Name() string { return f.name }

// RulesLevel returns the rules level that the document sets.
func (f *Fleet) RulesLevel() int { return f.rulesLevel }

// LoadBound returns the largest multiple of the mean load that an engine may
// carry.
func (f *Fleet) LoadBound() float64 { return f.loadBound }

// LoadBoundFloor returns the number of requests that an engine may carry whatever
// the mean load.
func (f *Fleet) LoadBoundFloor() int { return f.loadBoundFloor }

// RetryRatio returns the largest ratio of retries to requests of a workspace.
func (f *Fleet) RetryRatio() float64 { return f.retryRatio }

// Places returns the places in order of name.
func (f *Fleet) Places() []Place { return sortedValues(f.places) }

// Classes returns the classes in order of name.
func (f *Fleet) Classes() []Class { return sortedValues(f.classes) }

// Services returns the services in order of name.
func (f *Fleet) Services() []Service { return sortedValues(f.services) }

// Engines returns the engines in order of name.
func (f *Fleet) Engines() []Engine { return f.engineList }

// Targets returns the targets of application services in order of name.
func (f *Fleet) Targets() []Target { return f.targetList }

// Workspaces returns the workspaces in order of name.
func (f *Fleet) Workspaces() []Workspace { return sortedValues(f.workspaces) }

// Class returns the class with the name.
func (f *Fleet) Class(name string) (Class, bool) {
	c, ok := f.classes[name]
	return c, ok
}

// Service returns the service with the name.
func (f *Fleet) Service(name string) (Service, bool) {
	s, ok := f.services[name]
	return s, ok
}

// Engine returns the engine with the name.
func (f *Fleet) Engine(name string) (Engine, bool) {
	e, ok := f.engines[name]
	return e, ok
}

// Target returns the target of an application service with the name.
func (f *Fleet) Target(name string) (Target, bool) {
	t, ok := f.targets[name]
	return t, ok
}

// Workspace returns the workspace with the name.
func (f *Fleet) Workspace(name string) (Workspace, bool) {
	w, ok := f.workspaces[name]
	return w, ok
}

// WorkspaceByKey returns the workspace that an API key belongs to.
func (f *Fleet) WorkspaceByKey(key string) (Workspace, bool) {
	name, ok := f.workspaceByKeyDigest[KeyDigest(key)]
	if !ok {
		return Workspace{}, false
	}
	return f.Workspace(name)
}

// Models returns the models that the engines serve, in order of name.
func (f *Fleet) Models() []string {
	var out []string
	for _, e := range f.engines {
		out = append(out, e.models...)
	}
	return sortedUnique(out)
}

// EnginesFor returns the engines that serve the model, in order of name.
func (f *Fleet) EnginesFor(model string) []Engine {
	return f.enginesByModel[model]
}

// EnginesSharingModel returns the engines that have a model in common with the
// engine, itself included, in order of name.
func (f *Fleet) EnginesSharingModel(e Engine) []Engine {
	return f.sharingByEngine[e.name]
}

// TargetsFor returns the targets of the service, in order of name.
func (f *Fleet) TargetsFor(service string) []Target {
	return f.targetsByService[service]
}

// Digest returns the SHA-256 of the canonical document in hexadecimal.
func (f *Fleet) Digest() string {
	sum := sha256.Sum256(f.Canonical())
	return hex.EncodeToString(sum[:])
}

type named interface{ Name() string }

func sortedValues[T named](m map[string]T) []T {
	out := make([]T, 0, len(m))
	for _, v := range m {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(a.Name(), b.Name()) })
	return out
}
