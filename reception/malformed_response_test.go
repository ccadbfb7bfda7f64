package reception

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/lugtest/wiretest"
)

// exchange sends a request and returns the whole response, or an error.
func exchange(c *Client, address string, body []byte) (string, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	w, err := c.DoRequest(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := io.ReadAll(w.Body)
	return string(raw), err
}

func serveRaw(t *testing.T, respond func(net.Conn, *http.Request) bool) string {
	s, err := wiretest.NewServer(respond)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s.Address()
}

// TestMalformedResponseIsAnError guards against bytes that are no response being taken for one by any
// client: of targets, engines, peers or the store.
func TestMalformedResponseIsAnError(t *testing.T) {
	for name, text := range wiretest.Malformed("Some: field\r\n") {
		t.Run(name, func(t *testing.T) {
			for _, c := range []*Client{NewClient("pooled"), NewClient("unpooled", WithoutConnectionReuse())} {
				body, err := exchange(c, serveRaw(t, wiretest.Text(text)), nil)
				require.Error(t, err, "%q", body)
			}
		})
	}
}

// TestMalformedResponseOnReusedConnection is the same for a later response on a connection.
func TestMalformedResponseOnReusedConnection(t *testing.T) {
	for name, text := range wiretest.Malformed("Some: field\r\n") {
		if strings.Contains(name, "length") || name == "folded line" || strings.Contains(name, "interim") {
			// net/http reads the same length in these as any other program does, or drops what it can't read.
			continue
		}
		t.Run(name, func(t *testing.T) {
			first := true
			address := serveRaw(t, func(c net.Conn, r *http.Request) bool {
				if !first {
					return wiretest.Text(text)(c, r)
				}
				first = false
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				return true
			})
			c := NewClient("pooled")
			body, err := exchange(c, address, nil)
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			body, err = exchange(c, address, nil)
			require.Error(t, err, "%q", body)
		})
	}
}
