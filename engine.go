package vanillalug

import (
	"time"

	"vanillalug.example/form"
)

const (
	stateLive    = "live"
	stateLeaving = "leaving"

	defaultSlots = 16
	maxSlots     = 4096

	defaultPrefillRate = 5000
	maxPrefillRate     = 10_000_000
	// bytesPerToken is the approximate length of a token in a request body.
	bytesPerToken = 4
)

// Engine is an inference engine, a back end that serves models.
type Engine struct {
	name        string
	place       string
	address     string
	models      []string
	slots       int
	prefillRate int
	fenced      bool
	leaving     bool
}

// Name returns the unique name of the engine.
func (e Engine) Name() string { return e.name }

// Place returns the name of the engine's place.
func (e Engine) Place() string { return e.place }

// Address returns the IP address and port of the engine.
func (e Engine) Address() string { return e.address }

// Models returns the models that the engine serves, in order of name.
func (e Engine) Models() []string { return e.models }

// Serves reports whether the engine serves the model.
func (e Engine) Serves(model string) bool {
	for _, m := range e.models {
		if m == model {
			return true
		}
	}
	return false
}

// Slots returns the largest number of requests that the engine runs concurrently.
func (e Engine) Slots() int { return e.slots }

// PrefillRate returns the number of prompt tokens that the engine prefills per
// second.
func (e Engine) PrefillRate() int { return e.prefillRate }

// PrefillTime returns the approximate prefill time of a request body of the given
// size in bytes when none of its prompt is cached.
func (e Engine) PrefillTime(body int) time.Duration {
	return time.Duration(body) * time.Second / time.Duration(bytesPerToken*e.prefillRate)
}

// Fenced reports whether the engine rejects requests with an outdated fencing
// token.
func (e Engine) Fenced() bool { return e.fenced }

// Leaving reports whether the document marks the engine as leaving, to be taken
// out of service.
func (e Engine) Leaving() bool { return e.leaving }

func readEngine(s *form.Section) Engine {
	e := Engine{
		name:        s.Name(),
		place:       s.Required("place"),
		address:     s.Address("address"),
		models:      sortedUnique(s.List("models")),
		slots:       s.Int("slots", defaultSlots, 1, maxSlots),
		prefillRate: s.Int("prefill-rate", defaultPrefillRate, 1, maxPrefillRate),
		fenced:      s.Bool("fenced", false),
		leaving:     s.Choice("state", stateLive, stateLive, stateLeaving) == stateLeaving,
	}
	if len(e.models) == 0 {
		s.AddError("models", "is required: the names of the models, separated by commas")
	}
	return e
}
