package office

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"vanillalug.example"
	"vanillalug.example/depot"
	"vanillalug.example/reception"
	"vanillalug.example/register"
	"vanillalug.example/schedule"
)

const testDocument = `[fleet]
name = duchas
`

// TestLargeDocumentOverNarrowLink guards against a fleet document that takes longer to
// arrive than fetchTimeout: the router dropped it halfway and began again, for ever.
func TestLargeDocumentOverNarrowLink(t *testing.T) {
	const parts = 30
	text := testDocument + strings.Repeat("# a comment\n", 2000)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range parts {
			_, _ = w.Write([]byte(text[i*len(text)/parts : (i+1)*len(text)/parts]))
			_ = http.NewResponseController(w).Flush()
			time.Sleep(fetchTimeout * 3 / 2 / parts)
		}
	}))
	defer server.Close()
	store := depot.NewClient(reception.NewClient("narrow-link"), strings.TrimPrefix(server.URL, "http://"), "key")
	r := New(Identity{Name: "r1", Levels: vanillalug.NewLevelRange(1, 2)}, Dependencies{
		Clock: schedule.NewSystem(), Log: hclog.NewNullLogger(), Table: store, Objects: store, VMs: store,
	})
	fleet, err := vanillalug.ReadFleet("fleet.ini", []byte(text))
	require.NoError(t, err)
	head := register.NewHead(1, fleet.Digest(), "p1")
	r.register.Handle(register.HeadRead{Head: head})
	r.fetchDocument(register.Fetch{Head: head})
	require.NotNil(t, r.Fleet())
	require.Equal(t, uint64(1), r.register.Head().Version())
}
