package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform"
	"vanillalug.example/platform/platformtest"
	"vanillalug.example/reception"
)

// repeatingProxy forwards requests to an address. When a request arrives on a kept connection, it first
// writes the response to the one before again.
func repeatingProxy(t *testing.T, address string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go repeatResponses(c, address)
		}
	}()
	return l.Addr().String()
}

func repeatResponses(c net.Conn, address string) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var last []byte
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := c.Write(last); err != nil {
			return
		}
		r.RequestURI = ""
		r.URL.Scheme, r.URL.Host = "http", address
		w, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(w.Body)
		_ = w.Body.Close()
		if err != nil {
			return
		}
		w.Body, w.ContentLength, w.TransferEncoding = io.NopCloser(bytes.NewReader(body)), int64(len(body)), nil
		var out bytes.Buffer
		if err := w.Write(&out); err != nil {
			return
		}
		last = out.Bytes()
		if _, err := c.Write(last); err != nil {
			return
		}
	}
}

// TestRepeatedResponseOfStore guards against a response of the store that is written once more on a kept
// connection: taken for the response to a poll of another table, its revision would hide a new routing
// table.
func TestRepeatedResponseOfStore(t *testing.T) {
	store := platformtest.NewStore()
	store.PutJSON("op", "config", platformtest.RoutingTable(1, []string{testKey}, routes()...))
	client := func(opts ...reception.ClientOption) *reception.Client { return reception.NewClient("store", opts...) }
	through := platform.NewStore(platform.Clients{
		Targets: client(), RoutingTable: client(), Reads: client(reception.WithoutConnectionReuse()), Others: client(),
	}, repeatingProxy(t, store.Address()))
	tr := newTestRouterWith(t, store, "r1", []Option{func(g *Gateway) { g.store = through }})
	tr.addTargets(plainService, "p1")
	tr.waitReady(1)
	for version := 2; version < 12; version++ {
		target := tr.addTargets(plainService, name("extra", version))[0]
		store.PutJSON("op", "config", platformtest.RoutingTable(version, []string{testKey}, routes()...))
		target.Close()
		require.Eventually(t, func() bool { return tr.tableVersion() == uint64(version) }, applyTimeout, pollInterval, "version %d", version)
		time.Sleep(batchDelay / 2)
	}
}
