package stage

import (
	"encoding/json"
	"fmt"
	"slices"

	"vanillalug.example/depot"
)

// listVMs sets the platform's VM list to all VMs of the fleet.
func (s *Harness) listVMs() error {
	s.vms = nil
	for i := range s.cfg.routers {
		name := fmt.Sprintf("r%d", i+1)
		s.vms = append(s.vms, depot.VMBody{Name: name, Role: depot.RoleRouter, Address: s.Address(name + "/peers"), Place: placeOf(i)})
	}
	for i := range s.cfg.engines {
		name := fmt.Sprintf("e%d", i+1)
		s.vms = append(s.vms, depot.VMBody{Name: name, Role: "engine", Address: s.Address(name), Place: placeOf(i)})
	}
	for i := range s.cfg.workers {
		for _, kind := range []string{"b", "l"} {
			name := fmt.Sprintf("%s%d", kind, i+1)
			s.vms = append(s.vms, depot.VMBody{Name: name, Role: "worker", Address: s.Address(name), Place: placeOf(i)})
		}
	}
	return s.postVMs()
}

// SetLeaving marks a VM as leaving, or not leaving, in the platform's VM list.
func (s *Harness) SetLeaving(name string, leaving bool) error {
	i := slices.IndexFunc(s.vms, func(v depot.VMBody) bool { return v.Name == name })
	if i < 0 {
		return fmt.Errorf("Stage.SetLeaving: %s: is not on the list", name)
	}
	s.vms[i].Leaving = leaving
	return s.postVMs()
}

func (s *Harness) postVMs() error {
	raw, err := json.Marshal(depot.VMsBody{VMs: s.vms})
	if err != nil {
		return err
	}
	return s.Post("platform", "/vms", string(raw))
}
