package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// foreignPage is a response of another program, which knows neither the attempt nor the proof.
const foreignPage = "Content-Type: text/html\r\nContent-Length: 9\r\n\r\nIt works!"

// TestUnprovenResponse guards against a response of another program at a target's address that reaches a
// caller as the target's: through this router and a peer that relays, on a plain and a streaming route.
func TestUnprovenResponse(t *testing.T) {
	texts := map[string]string{
		"page":                        "HTTP/1.1 200 OK\r\n" + foreignPage,
		"page without a length":       "HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n\r\nIt works!",
		"page of chunks":              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nIt works!\r\n0\r\n\r\n",
		"long page":                   "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", 2_000_000),
		"events":                      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n",
		"page after an interim head":  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + foreignPage,
		"nothing":                     "HTTP/1.1 204 No Content\r\n\r\n",
		"proof without an id":         "HTTP/1.1 200 OK\r\n{seal}" + foreignPage,
		"id without a proof":          "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n" + foreignPage,
		"created, without a proof":    "HTTP/1.1 201 Created\r\nX-Attempt-Id: {id}\r\n" + foreignPage,
		"events without a proof":      "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: piece 1\n\n",
		"page that doesn't exist":     "HTTP/1.1 404 Not Found\r\n" + foreignPage,
		"page that has moved":         "HTTP/1.1 302 Found\r\nLocation: /\r\n" + foreignPage,
		"failure of another program":  "HTTP/1.1 500 Internal Server Error\r\n" + foreignPage,
		"refusal of another program":  "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" + foreignPage,
		"two pages":                   "HTTP/1.1 200 OK\r\n" + foreignPage + "HTTP/1.1 200 OK\r\n" + foreignPage,
		"another id, then a page":     "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\n{seal}" + foreignPage + "HTTP/1.1 200 OK\r\n" + foreignPage,
		"page, then the response":     "HTTP/1.1 200 OK\r\n" + foreignPage + "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n" + foreignPage,
		"page on a channel that ends": "HTTP/1.1 200 OK\r\nConnection: close\r\n" + foreignPage,
	}
	f := newPartitionTestFleet(t, 3)
	f.cut(resetting, 1)
	f.waitRelaying(t, "/once/x", plainService, 1)
	f.waitRelaying(t, "/broken/x", engineService, 1)
	for name, text := range texts {
		t.Run(name, func(t *testing.T) {
			for _, target := range f.targets {
				target.SetRaw(&platformtest.RawResponse{Text: text})
			}
			for i, router := range f.routers[:2] {
				for _, path := range []string{"/once/x", "/broken/x"} {
					id := fmt.Sprintf("%s%d%s", strings.NewReplacer(" ", "-", ",", "").Replace(name), i, path[1:3])
					w := router.post(path, id, id)
					require.NoError(t, w.err)
					require.Equal(t, http.StatusBadGateway, w.status, "%s at router %d: %q", path, i, w.body)
					require.Empty(t, platformtest.Seal(w.header))
				}
			}
		})
	}
}

// TestUnprovenResponseIsRetried guards against an idempotent request that fails because another program
// responded at one target's address.
func TestUnprovenResponseIsRetried(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1", "p2")
	tr.waitReady(2)
	next := make(chan *platformtest.RawResponse, 1)
	next <- &platformtest.RawResponse{Text: "HTTP/1.1 200 OK\r\n" + foreignPage}
	for _, target := range targets {
		target.SetRawFrom(func() *platformtest.RawResponse {
			select {
			case raw := <-next:
				return raw
			default:
				return nil
			}
		})
	}
	w := tr.post("/safe/x", "a", "work")
	require.NoError(t, w.err)
	require.Equal(t, http.StatusOK, w.status)
	require.Equal(t, "done a", w.body)
}

// TestUnprovenResponseStatesNothing guards against a response of another program that lifts the limit
// that a target has named.
func TestUnprovenResponseStatesNothing(t *testing.T) {
	tr := newTestRouter(t)
	target := tr.addTargets(plainService, "p1")[0]
	tr.waitReady(1)
	target.SetRateLimit("50")
	require.Equal(t, http.StatusOK, tr.post("/once/x", "a", "work").status)
	require.Contains(t, tr.logs.String(), `"@message":"target names a limit"`)
	target.SetRaw(&platformtest.RawResponse{Text: "HTTP/1.1 200 OK\r\nConnection: close\r\n" + foreignPage})
	// Requests are refused until the limit's first permits are given.
	require.Eventually(t, func() bool { return tr.post("/once/x", "b", "work").status == http.StatusBadGateway }, waitTimeout, pollInterval)
	require.NotContains(t, tr.logs.String(), `"@message":"target names no limit any more"`)
}

// TestUnprovenPeerResponse guards against a response of another program at a peer's address that reaches a caller
// as that of the target to which the peer was to relay.
func TestUnprovenPeerResponse(t *testing.T) {
	f := newPartitionTestFleet(t, 2)
	f.cut(resetting, 1)
	f.waitRelaying(t, "/once/x", plainService, 1)
	f.waitRelaying(t, "/broken/x", engineService, 1)
	f.routers[1].stopPeerServer()
	serveAt(t, f.routers[1].g.cfg.PeerAddress, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("It works!")) })
	for _, path := range []string{"/once/x", "/broken/x"} {
		w := f.routers[0].post(path, "a"+path[1:3], "work")
		require.NoError(t, w.err)
		require.Equal(t, http.StatusBadGateway, w.status, w.body)
	}
}

// serveAt serves HTTP at an address.
func serveAt(t *testing.T, address string, handler http.HandlerFunc) {
	l, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
}
