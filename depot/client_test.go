package depot

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/reception"
)

// TestLongObject checks that an object longer than the limit of a response is an error
// and is not returned in part.
func TestLongObject(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", maxResponseBytes+1)))
	}))
	defer server.Close()
	c := NewClient(reception.NewClient("platform"), strings.TrimPrefix(server.URL, "http://"), "key")
	raw, err := c.GetObject(context.Background(), "k")
	require.Zero(t, len(raw)) //nolint:testifylint // Empty would print the object.
	var tooLarge *reception.BodyTooLargeError
	require.ErrorAs(t, err, &tooLarge)
}
