package vanillalug

import (
	"crypto/sha256"
	"encoding/hex"

	"vanillalug.example/form"
)

const (
	defaultWorkspaceWeight = 1
	maxWorkspaceWeight     = 1000
	defaultInFlightLimit   = 512
	maxInFlightLimit       = 100000
)

// Workspace is a customer (tenant).
type Workspace struct {
	name          string
	keyDigest     string
	weight        int
	class         string
	inFlightLimit int
	models        []string
	services      []string
}

// Name returns the unique name of the workspace.
func (w Workspace) Name() string { return w.name }

// KeyDigest returns the SHA-256 of the workspace's API key in hexadecimal.
func (w Workspace) KeyDigest() string { return w.keyDigest }

// Weight returns the weight of the workspace against others with requests queued
// in the same class.
func (w Workspace) Weight() int { return w.weight }

// Class returns the default class, for requests that name none.
func (w Workspace) Class() string { return w.class }

// InFlightLimit returns the largest number of requests in flight at one router.
func (w Workspace) InFlightLimit() int { return w.inFlightLimit }

// Models returns the models that the workspace may use; none means all.
func (w Workspace) Models() []string { return w.models }

// Services returns the services that the workspace may use; none means all.
func (w Workspace) Services() []string { return w.services }

// MayUseModel reports whether the workspace may use the model.
func (w Workspace) MayUseModel(model string) bool { return allows(w.models, model) }

// MayUseService reports whether the workspace may use the service.
func (w Workspace) MayUseService(service string) bool { return allows(w.services, service) }

// KeyDigest returns the SHA-256 of an API key in hexadecimal, as the fleet
// document declares it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func allows(names []string, name string) bool {
	if len(names) == 0 {
		return true
	}
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func readWorkspace(s *form.Section) Workspace {
	w := Workspace{
		name:          s.Name(),
		keyDigest:     s.Required("key-sha256"),
		weight:        s.Int("share", defaultWorkspaceWeight, 1, maxWorkspaceWeight),
		class:         s.Required("class"),
		inFlightLimit: s.Int("open-limit", defaultInFlightLimit, 1, maxInFlightLimit),
		models:        sortedUnique(s.List("models")),
		services:      sortedUnique(s.List("services")),
	}
	raw, err := hex.DecodeString(w.keyDigest)
	if w.keyDigest != "" && (err != nil || len(raw) != sha256.Size) {
		s.AddError("key-sha256", "want the SHA-256 of the key as 64 hexadecimal digits")
	}
	return w
}
