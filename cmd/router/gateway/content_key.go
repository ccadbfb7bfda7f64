package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
)

// contentKey returns a key of what a target sees of the request: method, host, path, query,
// workspace and body. It is the same when the request comes again, at any router. The body isn't
// copied, as it may be large.
func (t *transaction) contentKey() uint64 {
	h := newFieldHash(t.req.Method(), t.req.Host(), t.r.RequestURI, t.workspace)
	writeLength(h, len(t.body))
	h.Write(t.body)
	return sumOf(h)
}

// hashFields returns a hash for which nobody can make up other fields with the same one.
func hashFields(fields ...string) uint64 { return sumOf(newFieldHash(fields...)) }

func newFieldHash(fields ...string) hash.Hash {
	h := sha256.New()
	for _, field := range fields {
		writeLength(h, len(field))
		_, _ = io.WriteString(h, field)
	}
	return h
}

// writeLength makes that no two lists of fields have the same input.
func writeLength(h hash.Hash, n int) { h.Write(binary.BigEndian.AppendUint64(nil, uint64(n))) }

func sumOf(h hash.Hash) uint64 { return binary.BigEndian.Uint64(h.Sum(nil)) }
