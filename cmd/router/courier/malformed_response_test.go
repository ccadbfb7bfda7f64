package courier

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/lugtest/wiretest"
	"vanillalug.example/peer"
	"vanillalug.example/reception"
)

func serveRaw(t *testing.T, respond func(net.Conn, *http.Request) bool) string {
	s, err := wiretest.NewServer(respond)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s.Address()
}

// sends are the ways in which requests of our own interface get a response; each returns an error if it
// was none.
func sends() map[string]func(ctx context.Context, address string, body []byte) error {
	client := func(name string) *reception.Client { return reception.NewClient(name) }
	service := NewHTTPService(client("services"), reception.NewClient("services-once", reception.WithoutConnectionReuse()), client("reports"))
	engine := NewHTTPEngine(reception.NewClient("engines", EngineConnections()), client("reports"), client("events"), time.Second, time.Second)
	peers := NewPeerClient("key", client("probes"), client("documents"), client("hand-over"), client("relays"), time.Second)
	readAll := func(s Stream, err error) error {
		if err != nil {
			return err
		}
		defer s.Close()
		for {
			event, err := s.Next()
			if err != nil || event.End {
				return err
			}
		}
	}
	return map[string]func(context.Context, string, []byte) error{
		"call": func(ctx context.Context, address string, body []byte) error {
			_, err := service.Call(ctx, address, ServiceCall{Method: http.MethodPost, Path: "/x", Body: body})
			return err
		},
		"call at most once": func(ctx context.Context, address string, body []byte) error {
			_, err := service.Call(ctx, address, ServiceCall{Method: http.MethodPost, Path: "/x", Body: body, AtMostOnce: true})
			return err
		},
		"chat": func(ctx context.Context, address string, body []byte) error {
			return readAll(engine.Start(ctx, address, ChatCall{Request: "r", Body: body}))
		},
		"report": func(ctx context.Context, address string, _ []byte) error {
			_, err := engine.Report(ctx, address)
			return err
		},
		"relayed chat": func(ctx context.Context, address string, body []byte) error {
			return readAll(peers.Relay(ctx, address, RelayRequest{Request: "r", Body: body}))
		},
		"peer": func(ctx context.Context, address string, _ []byte) error {
			_, err := peers.Probe(ctx, address, &peer.Gossip{})
			return err
		},
	}
}

// TestMalformedResponseIsNoAnswer guards against bytes that are no response being taken for one at our own
// interface, wherever responses are read.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	for name, send := range sends() {
		for kind, text := range wiretest.Malformed("Some: field\r\n") {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				require.Error(t, send(context.Background(), serveRaw(t, wiretest.Text(text)), []byte("body")))
			})
		}
	}
}
