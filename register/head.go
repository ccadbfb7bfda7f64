package register

// Head identifies one published version of the fleet document.
type Head struct {
	version     uint64
	digest      string
	publication string
}

// NewHead returns the head of a version. The publication is the unique id of the
// operation that published it.
func NewHead(version uint64, digest, publication string) Head {
	return Head{version: version, digest: digest, publication: publication}
}

// Version returns the version number, or 0 if there is no version.
func (h Head) Version() uint64 { return h.version }

// Digest returns the SHA-256 of the canonical document in hexadecimal.
func (h Head) Digest() string { return h.digest }

// Publication returns the unique id of the operation that published the version.
func (h Head) Publication() string { return h.publication }
