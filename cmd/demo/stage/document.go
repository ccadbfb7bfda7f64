package stage

import (
	"fmt"
	"strings"

	"vanillalug.example"
)

// Model is the model that the engines serve.
const Model = "small"

// Workspaces are the workspaces of the fleet document. APIKey returns the key of
// each.
var Workspaces = []string{"taller-norte", "taller-sur", "contabile", "grande"}

// APIKey returns the API key of a workspace.
func APIKey(workspace string) string { return workspace + "-key" }

// places are the places (failure domains) of the first user, and one more for a
// second region.
var places = []string{"centro", "oriente", "poniente"}

// placeOf assigns the VM with index i to a place, round robin.
func placeOf(i int) string { return places[i%len(places)] }

// document returns the first fleet document.
func (s *Harness) document() string {
	var b strings.Builder
	b.WriteString("[fleet]\nname = demo\n")
	for k, v := range s.cfg.fleetKeys {
		fmt.Fprintf(&b, "%s = %s\n", k, v)
	}
	for _, p := range places {
		fmt.Fprintf(&b, "\n[place %s]\nregion = santiago\n", p)
	}
	b.WriteString("\n[class interactive]\npriority = 0\nweight = 8\nqueue-deadline = 10s\n")
	b.WriteString("\n[class batch]\npriority = 5\nweight = 1\nqueue-deadline = 30s\n")
	b.WriteString("\n[service bookings]\ndeadline = 5s\n")
	b.WriteString("\n[service ledger]\ndeadline = 5s\noutcomes = /outcomes/{key}\n")
	b.WriteString("\n[call balances]\nservice = ledger\nmethod = GET\npath = /balances/**\nrepeatable = yes\n")
	b.WriteString("\n[call crews]\nservice = bookings\nmethod = GET\npath = /crews/**\nrepeatable = yes\n")
	for i := range s.cfg.engines {
		name := fmt.Sprintf("e%d", i+1)
		fmt.Fprintf(&b, "\n[engine %s]\nplace = %s\naddress = %s\nmodels = %s\nslots = %d\nprefill-rate = %d\n",
			name, placeOf(i), s.addresses[name], Model, s.cfg.slots, s.cfg.prefillRate())
	}
	for i := range s.cfg.workers {
		name := fmt.Sprintf("b%d", i+1)
		fmt.Fprintf(&b, "\n[target %s]\nservice = bookings\nplace = %s\naddress = %s\n", name, placeOf(i), s.addresses[name])
		name = fmt.Sprintf("l%d", i+1)
		fmt.Fprintf(&b, "\n[target %s]\nservice = ledger\nplace = %s\naddress = %s\n", name, placeOf(i), s.addresses[name])
	}
	for _, w := range Workspaces {
		fmt.Fprintf(&b, "\n[workspace %s]\nkey-sha256 = %s\nclass = interactive\nopen-limit = 5000\n", w, vanillalug.KeyDigest(APIKey(w)))
	}
	return b.String()
}

// settings returns the settings file of a router.
func (s *Harness) settings(name string, i int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[router]\nname = %s\nplace = %s\n", name, placeOf(i))
	fmt.Fprintf(&b, "\n[listen]\ncallers = %s\npeers = %s\noperators = %s\n",
		s.addresses[name], s.addresses[name+"/peers"], s.addresses[name+"/operators"])
	fmt.Fprintf(&b, "\n[platform]\naddress = %s\nkey = %s\n", s.addresses["platform"], platformKey)
	fmt.Fprintf(&b, "\n[keys]\npeers = %s\noperators = %s\n", peerKey, operatorKey)
	fmt.Fprintf(&b, "\n[times]\nbalancer = %s\nvms-interval = 1s\n", s.cfg.balancerDelay)
	for k, v := range s.cfg.timesKeys {
		fmt.Fprintf(&b, "%s = %s\n", k, v)
	}
	return b.String()
}

// operatorSettings returns the settings file of the operators' command.
func (s *Harness) operatorSettings() string {
	var routers []string
	for i := range s.cfg.routers {
		routers = append(routers, s.addresses[fmt.Sprintf("r%d/operators", i+1)])
	}
	return fmt.Sprintf("[operator]\nname = ana\n\n[platform]\naddress = %s\nkey = %s\n\n[routers]\naddresses = %s\nkey = %s\n",
		s.addresses["platform"], platformKey, strings.Join(routers, ", "), operatorKey)
}
