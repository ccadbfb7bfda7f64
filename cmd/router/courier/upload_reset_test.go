package courier

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/lugtest/wiretest"
)

// TestPartOfBodyIsNoAnswer guards against a part of a body passing for a whole one, as the target reset the
// connection while the upload was being written.
func TestPartOfBodyIsNoAnswer(t *testing.T) {
	const attempts = 20
	for _, name := range []string{"call", "call at most once"} {
		t.Run(name, func(t *testing.T) {
			send := sends()[name]
			address := serveRaw(t, wiretest.TextUnread("HTTP/1.1 200 OK\r\n\r\na part"))
			for range attempts {
				require.Error(t, send(context.Background(), address, bytes.Repeat([]byte("x"), 3<<20)))
			}
		})
	}
}
