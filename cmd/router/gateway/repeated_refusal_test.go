package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// repeatingTarget refuses the first request and runs the others. On the connection of a refusal it
// writes it once more: before the next request, with it, or a while after it.
type repeatingTarget struct {
	listener net.Listener
	// id returns the id in the copy of a refusal of the request with an id.
	id func(refused string) string
	// at is when the copy is written.
	at repeatAt

	mu      sync.Mutex
	refused string
	ran     map[string]int
}

type repeatAt int

const (
	withNextRequest repeatAt = iota
	whileItRuns
	afterRefusal
	onAccept
)

const repeatDelay = 30 * time.Millisecond

func newRepeatingTarget(t *testing.T, at repeatAt, id func(string) string) *repeatingTarget {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	target := &repeatingTarget{listener: l, id: id, at: at, ran: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go target.serve(c)
		}
	}()
	return target
}

func (p *repeatingTarget) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	repeated := ""
	if p.at == onAccept {
		_, _ = io.WriteString(c, p.refusal(p.id("")))
	}
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Attempt-Id")
		if p.refuses(id) {
			repeated = p.refusal(p.id(id))
			_, _ = io.WriteString(c, p.refusal(id))
			if p.at == afterRefusal {
				time.Sleep(repeatDelay)
				_, _ = io.WriteString(c, repeated)
				repeated = ""
			}
			continue
		}
		p.run(c, r, id, repeated)
		repeated = ""
	}
}

// run runs a request and responds, after the copy of an earlier refusal.
func (p *repeatingTarget) run(c net.Conn, r *http.Request, id, repeated string) {
	if p.at == withNextRequest {
		_, _ = io.WriteString(c, repeated)
	}
	p.mu.Lock()
	p.ran[id]++
	p.mu.Unlock()
	if p.at == whileItRuns {
		time.Sleep(repeatDelay)
		_, _ = io.WriteString(c, repeated)
	}
	time.Sleep(repeatDelay)
	body := "done"
	kind := "text/plain"
	if r.Header.Get("Accept") == "text/event-stream" {
		body, kind = "id: 1\ndata: {}\n\n", "text/event-stream"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", id, kind, len(body), body)
}

func (p *repeatingTarget) refusal(id string) string {
	line := ""
	if id != "" {
		line = "X-Attempt-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + line + "X-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"
}

// refuses reports whether a request is the first one, unless nothing is refused.
func (p *repeatingTarget) refuses(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refused != "" || p.at == onAccept {
		return false
	}
	p.refused = id
	return true
}

func (p *repeatingTarget) runs(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran[id]
}

// TestRepeatedRefusal guards against a refusal that a target writes once more on a kept connection,
// and that is taken for the response to a later attempt: callers were told 'not run' for requests that
// a target ran, or these ran at a second target.
func TestRepeatedRefusal(t *testing.T) {
	own := func(refused string) string { return refused }
	none := func(string) string { return "" }
	tests := map[string]struct {
		at repeatAt
		id func(string) string
		// sameRequest says that the request that was refused is sent to the target again, as it is the
		// only one; otherwise it is another one.
		sameRequest bool
	}{
		"with the next request":                {withNextRequest, own, false},
		"with the next request, without an id": {withNextRequest, none, false},
		"while it runs":                        {whileItRuns, own, false},
		"while it runs, without an id":         {whileItRuns, none, false},
		"between two requests":                 {afterRefusal, own, false},
		"between two requests, without an id":  {afterRefusal, none, false},
		"the same request again":               {withNextRequest, own, true},
		"the same request, while it runs":      {whileItRuns, own, true},
		"before the first request":             {onAccept, none, false},
	}
	for name, tt := range tests {
		for _, path := range []string{"/once/x", "/safe/x"} {
			t.Run(name+" "+path[1:5], func(t *testing.T) {
				tr := newTestRouter(t)
				target := newRepeatingTarget(t, tt.at, tt.id)
				stand, err := platformtest.NewTarget("p1", plainService, false)
				require.NoError(t, err)
				t.Cleanup(stand.Close)
				entry := stand.Entry("ready")
				entry["address"] = target.listener.Addr().String()
				tr.store.PutJSON("servers", "p1", entry)
				tr.waitReady(1)
				if !tt.sameRequest && tt.at != onAccept {
					refuseFirst(tr, target)
				}
				time.Sleep(2 * repeatDelay)
				w := tr.post(path, "second", "x")
				require.NoError(t, w.err)
				if target.runs("second") > 0 {
					require.NotContains(t, []int{http.StatusServiceUnavailable, http.StatusTooManyRequests}, w.status,
						"the caller is told that it has not run")
				}
				if path == "/once/x" {
					require.LessOrEqual(t, target.runs("second"), 1)
				}
				if w.status == http.StatusOK {
					require.Equal(t, "done", w.body)
				}
			})
		}
	}
}

// refuseFirst lets the target refuse a request, so that the connection is kept.
func refuseFirst(tr *testRouter, target *repeatingTarget) {
	w := tr.post("/short/x", "first", "x")
	require.NoError(tr.t, w.err)
	require.Equal(tr.t, http.StatusServiceUnavailable, w.status)
	require.Equal(tr.t, "first", target.refused)
}

// TestRequestsWithoutID guards against a response to an earlier request that is taken for the one to a
// request without an id, which can't be told from it on a kept connection.
func TestRequestsWithoutID(t *testing.T) {
	tr := newTestRouter(t)
	target := newRepeatingTarget(t, withNextRequest, func(string) string { return "" })
	stand, err := platformtest.NewTarget("p1", plainService, false)
	require.NoError(t, err)
	t.Cleanup(stand.Close)
	entry := stand.Entry("ready")
	entry["address"] = target.listener.Addr().String()
	tr.store.PutJSON("servers", "p1", entry)
	tr.waitReady(1)
	refuseFirst(tr, target)
	w := tr.post("/safe/x", "", "x")
	require.NoError(t, w.err)
	require.Equal(t, http.StatusOK, w.status)
	require.Equal(t, "done", w.body)
	require.Equal(t, 1, target.runs(""))
}
