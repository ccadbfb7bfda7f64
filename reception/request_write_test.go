package reception

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/lugtest/wiretest"
)

// TestPartOfBodyIsNotWhole guards against a part of a body passing for a whole one, as the server reset
// the connection while the upload was being written.
func TestPartOfBodyIsNotWhole(t *testing.T) {
	const attempts = 30
	address := serveRaw(t, wiretest.TextUnread("HTTP/1.1 200 OK\r\n\r\na part"))
	c := NewClient("unpooled", WithoutConnectionReuse())
	for range attempts {
		body, err := exchange(c, address, bytes.Repeat([]byte("x"), 3<<20))
		require.Error(t, err, "%q", body)
	}
}

// TestBodyThatEndsWithConnection checks that a body without a length is still whole when its connection ends
// after the request was written.
func TestBodyThatEndsWithConnection(t *testing.T) {
	for name, size := range map[string]int{"short request": 10, "long request": 3 << 20} {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, wiretest.Text("HTTP/1.1 200 OK\r\n\r\nwhole"))
			body, err := exchange(NewClient("pooled"), address, bytes.Repeat([]byte("x"), size))
			require.NoError(t, err)
			require.Equal(t, "whole", body)
		})
	}
}
