package vanillalug

import "vanillalug.example/form"

// Target is one back end of an application service.
type Target struct {
	name    string
	service string
	place   string
	address string
	leaving bool
}

// Name returns the unique name of the target.
func (t Target) Name() string { return t.name }

// Service returns the name of the service that the target belongs to.
func (t Target) Service() string { return t.service }

// Place returns the name of the target's place.
func (t Target) Place() string { return t.place }

// Address returns the IP address and port of the target.
func (t Target) Address() string { return t.address }

// Leaving reports whether the document marks the target as leaving, to be taken
// out of service.
func (t Target) Leaving() bool { return t.leaving }

func readTarget(s *form.Section) Target {
	return Target{
		name:    s.Name(),
		service: s.Required("service"),
		place:   s.Required("place"),
		address: s.Address("address"),
		leaving: s.Choice("state", stateLive, stateLive, stateLeaving) == stateLeaving,
	}
}
