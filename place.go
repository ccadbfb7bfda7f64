package vanillalug

import "vanillalug.example/form"

// Place is a failure domain (zone) in which VMs run.
type Place struct {
	name      string
	region    string
	evacuated bool
}

// Name returns the unique name of the place.
func (p Place) Name() string { return p.name }

// Region returns the region of the place.
func (p Place) Region() string { return p.region }

// Evacuated reports whether the document marks the place as evacuated: its engines
// and targets get no new requests.
func (p Place) Evacuated() bool { return p.evacuated }

func readPlace(s *form.Section) Place {
	return Place{
		name:      s.Name(),
		region:    s.Required("region"),
		evacuated: s.Bool("evacuated", false),
	}
}
