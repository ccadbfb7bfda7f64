package vanillalug

import "vanillalug.example/form"

// Place is a failure domain (zone) in which VMs run.
type Place struct {
	name   string
	region string
}

// Name returns the unique name of the place.
func (p Place) Name() string { return p.name }

// Region returns the region of the place.
func (p Place) Region() string { return p.region }

func readPlace(s *form.Section) Place {
	return Place{
		name:   s.Name(),
		region: s.Required("region"),
	}
}
