package vanillalug

import (
	"crypto/sha256"
	"encoding/hex"

	"vanillalug.example/form"
)

const (
	defaultShare     = 1
	maxShare         = 1000
	defaultOpenLimit = 512
	maxOpenLimit     = 100000
)

// Workspace is a customer (tenant).
type Workspace struct {
	name      string
	keyDigest string
	share     int
	class     string
	openLimit int
	models    []string
	services  []string
}

// Name returns the unique name of the workspace.
func (w Workspace) Name() string { return w.name }

// KeyDigest returns the SHA-256 of the workspace's key in hexadecimal.
func (w Workspace) KeyDigest() string { return w.keyDigest }

// Weight is the workspace's weight against others that wait in the same class.
func (w Workspace) Weight() int { return w.share }

// Class returns the class of requests that name none.
func (w Workspace) Class() string { return w.class }

// InFlightLimit is the largest number of requests open at one router.
func (w Workspace) InFlightLimit() int { return w.openLimit }

// Models returns the models that the workspace may use; none means all.
func (w Workspace) Models() []string { return w.models }

// Services returns the services that the workspace may use; none means all.
func (w Workspace) Services() []string { return w.services }

// MayUseModel reports whether the workspace may use the model.
func (w Workspace) MayUseModel(model string) bool { return allows(w.models, model) }

// MayUseService reports whether the workspace may use the service.
func (w Workspace) MayUseService(service string) bool { return allows(w.services, service) }

// KeyDigest returns the digest under which a workspace key is declared.
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
		name:      s.Name(),
		keyDigest: s.Required("key-sha256"),
		share:     s.Int("share", defaultShare, 1, maxShare),
		class:     s.Required("class"),
		openLimit: s.Int("open-limit", defaultOpenLimit, 1, maxOpenLimit),
		models:    sortedUnique(s.List("models")),
		services:  sortedUnique(s.List("services")),
	}
	raw, err := hex.DecodeString(w.keyDigest)
	if w.keyDigest != "" && (err != nil || len(raw) != sha256.Size) {
		s.AddError("key-sha256", "want the SHA-256 of the key as 64 hexadecimal digits")
	}
	return w
}
