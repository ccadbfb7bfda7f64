package crew

import (
	"fmt"
	"net/netip"
	"strings"
	"unicode"
)

const (
	// maxTextSize bounds an id and a name, in bytes.
	maxTextSize = 256
	// maxSlots bounds the requests that a target runs concurrently.
	maxSlots = 1 << 20
)

// InvalidTargetError is returned for an entry of the registry that can't be that of a target.
type InvalidTargetError struct{ faults []string }

// Error implements error.
func (e *InvalidTargetError) Error() string { return strings.Join(e.faults, "; ") }

// Validate returns an *InvalidTargetError with every fault of the target, or nil. Others than
// targets may write to the registry, and peers pass on what they have read there.
func (t *Target) Validate() error {
	var faults []string
	add := func(wrong bool, format string, args ...any) {
		if wrong {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	add(!isName(t.id), "id: no name")
	add(!isName(t.service), "service: no name")
	add(t.place != "" && !isName(t.place), "place: no name")
	add(t.softwareVersion != "" && !isName(t.softwareVersion), "software version: no name")
	add(t.slots < 1 || t.slots > maxSlots, "slots: %d", t.slots)
	add(t.sequence < 0, "sequence: %d", t.sequence)
	add(t.startMillis < 0, "start: %d ms", t.startMillis)
	address, err := netip.ParseAddrPort(t.address)
	switch {
	case err != nil:
		add(true, "address: no IP address and port")
	default:
		ip := address.Addr()
		add(ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "", "address: %s is not that of a VM", ip)
		add(address.Port() == 0, "address: port 0")
	}
	if len(faults) > 0 {
		return &InvalidTargetError{faults: faults}
	}
	return nil
}

// isName reports whether a text may be a name: short, and without control characters, which would
// end a header line.
func isName(s string) bool {
	return s != "" && len(s) <= maxTextSize && !strings.ContainsFunc(s, unicode.IsControl)
}
