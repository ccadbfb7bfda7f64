package crew

import "github.com/cespare/xxhash/v2"

// Digest returns a hash of the targets and their states. Views with the same
// targets have the same digest.
func (v *View) Digest() uint64 { return v.digest }

// set replaces the entry with the same id.
func (v *View) set(e *entry) {
	v.unset(e.target.id)
	v.entries[e.target.id] = e
	v.digest ^= digestOf(e.target)
}

func (v *View) unset(id string) {
	e, known := v.entries[id]
	if !known {
		return
	}
	delete(v.entries, id)
	v.digest ^= digestOf(e.target)
}

func digestOf(t Target) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(t.Incarnation())
	_, _ = d.WriteString(t.address)
	_, _ = d.Write([]byte{byte(t.state)})
	_, _ = d.WriteString(t.softwareVersion)
	return d.Sum64()
}
