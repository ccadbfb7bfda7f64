package crew

import "github.com/cespare/xxhash/v2"

// Digest is equal for books that believe the same.
func (b *View) Digest() uint64 { return b.digest }

// set puts an entry in the place of the one with its id.
func (b *View) set(e *entry) {
	b.unset(e.target.id)
	b.targets[e.target.id] = e
	b.digest ^= digestOf(e.target)
}

func (b *View) unset(id string) {
	e, known := b.targets[id]
	if !known {
		return
	}
	delete(b.targets, id)
	b.digest ^= digestOf(e.target)
}

func digestOf(t Target) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(t.Incarnation())
	_, _ = d.WriteString(t.address)
	_, _ = d.Write([]byte{byte(t.state)})
	return d.Sum64()
}
