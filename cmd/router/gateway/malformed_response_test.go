package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/lugtest/wiretest"
	"vanillalug.example/platform/platformtest"
)

// fields are those that each response of a target has.
const fields = "X-Attempt-Id: {id}\r\n{seal}"

// TestMalformedResponseIsNoAnswer guards against bytes that are no response reaching a caller as one,
// through this router or a peer that relays, on a plain route and on a streaming one.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	f := newPartitionTestFleet(t, 3)
	f.cut(resetting, 1)
	f.waitRelaying(t, "/once/x", plainService, 1)
	f.waitRelaying(t, "/broken/x", engineService, 1)
	for name, text := range wiretest.Malformed(fields) {
		t.Run(name, func(t *testing.T) {
			for _, target := range f.targets {
				target.SetRaw(&platformtest.RawResponse{Text: text})
			}
			for i, router := range f.routers[:2] {
				for _, path := range []string{"/once/x", "/broken/x"} {
					id := fmt.Sprintf("%s%d%s", strings.ReplaceAll(name, " ", "-"), i, path[1:3])
					w := router.post(path, id, id)
					require.NoError(t, w.err)
					require.Equal(t, http.StatusBadGateway, w.status, "%s at router %d: %q", path, i, w.body)
					require.Empty(t, platformtest.Seal(w.header))
				}
			}
		})
	}
}
