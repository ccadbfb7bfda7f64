package gateway

import (
	"crypto/sha256"
	"encoding/binary"
)

// contentKey returns a key of what a target sees of the request: method, host, path, query,
// workspace and body. It is the same when the request comes again, at any router. The hash
// is one for which nobody can make up another request with the same key.
func (t *transaction) contentKey() uint64 {
	h := sha256.New()
	for _, field := range []string{t.req.Method(), t.req.Host(), t.r.RequestURI, t.workspace, string(t.body)} {
		// With the lengths, no two lists of fields make the same input.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		h.Write([]byte(field))
	}
	return binary.BigEndian.Uint64(h.Sum(nil))
}
