package gateway

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// TestErrorAfterStreamHasBegun guards against what the next target answers, when a stream has begun and
// broke off, being written into the stream, or ending it as if it were complete.
func TestErrorAfterStreamHasBegun(t *testing.T) {
	long := strings.Repeat("error text\n\n", 200_000)
	plain := func(status string, body string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\nX-Attempt-Id: {id}\r\n{seal}Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
	}
	tests := map[string]string{
		"long error":            plain("500 Internal Server Error", long),
		"long client error":     plain("400 Bad Request", long),
		"long plain response":   plain("200 OK", long),
		"short plain response":  plain("200 OK", "not an event\n\n"),
		"short error":           plain("500 Internal Server Error", "failed"),
		"endless error":         "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: {id}\r\n\r\n" + long,
		"no content":            "HTTP/1.1 204 No Content\r\nX-Attempt-Id: {id}\r\n{seal}\r\n",
		"half a head":           "HTTP/1.1 500 Inter",
		"an empty plain answer": plain("200 OK", ""),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for routers := range 2 {
				f := newPartitionTestFleet(t, 3)
				if routers == 1 {
					f.cut(resetting, 1)
					f.waitRelaying(t, "/stream/x", engineService, 1)
				}
				first := "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\n{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
					fmt.Sprintf("%x\r\n%s\r\n", len(platformtest.Event(1)), platformtest.Event(1))
				script := &rawScript{texts: []string{first, text}}
				for _, target := range f.targets {
					target.SetRawFrom(script.next)
				}
				w := f.routers[0].post("/stream/x", "id", "work")
				require.Equal(t, platformtest.Event(1), w.body)
				require.Error(t, w.err, "the stream breaks off")
			}
		})
	}
}

// rawScript has the raw responses to the next requests, whichever target gets them; the last one is
// that to all further ones.
type rawScript struct {
	mu    sync.Mutex
	texts []string
}

func (s *rawScript) next() *platformtest.RawResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := s.texts[0]
	if len(s.texts) > 1 {
		s.texts = s.texts[1:]
	}
	return &platformtest.RawResponse{Text: text}
}
