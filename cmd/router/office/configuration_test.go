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
	"vanillalug.example/cmd/router/courier"
	"vanillalug.example/depot"
	"vanillalug.example/reception"
	"vanillalug.example/register"
	"vanillalug.example/roster"
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

// TestSlowPeerDoesNotDelayDocument guards against a router that waits for a peer which is frozen or
// sends a byte now and then, while the object store has the new fleet document.
func TestSlowPeerDoesNotDelayDocument(t *testing.T) {
	const applyTimeout = 3 * time.Second
	done := make(chan struct{})
	slow := map[string]http.HandlerFunc{
		"frozen": func(http.ResponseWriter, *http.Request) { <-done },
		"slow": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/protobuf")
			for {
				_, _ = w.Write([]byte{0})
				_ = http.NewResponseController(w).Flush()
				select {
				case <-done:
					return
				case <-time.After(applyTimeout / 10):
				}
			}
		},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(testDocument))
	}))
	defer server.Close()
	defer close(done)
	store := depot.NewClient(reception.NewClient("store"), strings.TrimPrefix(server.URL, "http://"), "key")
	fleet, err := vanillalug.ReadFleet("fleet.ini", []byte(testDocument))
	require.NoError(t, err)
	head := register.NewHead(1, fleet.Digest(), "p1")
	for name, handler := range slow {
		t.Run(name, func(t *testing.T) {
			peer := httptest.NewServer(handler)
			t.Cleanup(peer.CloseClientConnections)
			client := reception.NewClient("peers")
			r := New(Identity{Name: "r1", Levels: vanillalug.NewLevelRange(1, 2)}, Dependencies{
				Clock: schedule.NewSystem(), Log: hclog.NewNullLogger(), Table: store, Objects: store, VMs: store,
				Peers: courier.NewPeerClient("key", client, client, client, client, time.Second),
			})
			r.roster.Handle(roster.ListReceived{Members: []roster.Member{
				roster.NewMember("r2", strings.TrimPrefix(peer.URL, "http://"), "", 1),
			}})
			start := time.Now()
			r.register.Handle(register.HeadRead{Head: head})
			r.fetchDocument(register.Fetch{Head: head, Peer: "r2"})
			require.NotNil(t, r.Fleet())
			require.Less(t, time.Since(start), applyTimeout)
		})
	}
}
