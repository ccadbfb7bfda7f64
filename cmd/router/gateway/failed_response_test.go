package gateway

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/intake"
	"vanillalug.example/platform/platformtest"
)

// beyondBuffer is the length of a body that is too long to be buffered, in bytes.
const beyondBuffer = maxBufferedBody + 200_000

// failedBodies returns the rest of a failed response after its first line, by how its body comes.
func failedBodies() map[string]string {
	head := "X-Attempt-Id: {id}\r\n{seal}"
	long := strings.Repeat("x", beyondBuffer)
	return map[string]string{
		"empty":                     head + "Content-Length: 0\r\n\r\n",
		"short":                     head + "Content-Length: 6\r\n\r\nfailed",
		"long":                      head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long),
		"long, in chunks":           head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long),
		"long, ends with its conn":  head + "Connection: close\r\n\r\n" + long,
		"long, stops before end":    head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long)+1, long),
		"short, ends with its conn": head + "Connection: close\r\n\r\nfailed",
	}
}

// TestStatusOfTargetPromisesNothing guards against a failure of a target that reaches the caller with a status by which
// it takes the request for not executed, although a target has executed it: with a body too long to be buffered, for a
// plain request and a stream, at this router and through a peer.
func TestStatusOfTargetPromisesNothing(t *testing.T) {
	statuses := map[int]string{
		http.StatusRequestTimeout:     "408 Request Timeout",
		http.StatusTooManyRequests:    "429 Too Many Requests",
		http.StatusServiceUnavailable: "503 Service Unavailable",
	}
	f := newPartitionTestFleet(t, 3)
	f.cut(resetting, 1)
	f.waitRelaying(t, "/once/x", plainService, 1)
	f.waitRelaying(t, "/broken/x", engineService, 1)
	paths := map[string]string{"plain": "/once/x", "idempotent": "/safe/x", "stream": "/broken/x", "resumable stream": "/stream/x"}
	n := 0
	for status, line := range statuses {
		for body, rest := range failedBodies() {
			for kind, path := range paths {
				t.Run(fmt.Sprintf("%d, %s, %s", status, body, kind), func(t *testing.T) {
					for _, target := range f.targets {
						target.SetRaw(&platformtest.RawResponse{Text: "HTTP/1.1 " + line + "\r\n" + rest})
					}
					for _, router := range f.routers[:2] {
						n++
						w := router.post(path, name("f", n), "work")
						require.NoError(t, w.err)
						require.Equal(t, http.StatusBadGateway, w.status)
						require.Empty(t, platformtest.Seal(w.header))
						require.Positive(t, countExecutions(name("f", n), f.targets))
					}
				})
			}
		}
	}
}

// TestMisdirectedResponse checks that a long response with status 421, which alone states that the request was not
// executed, isn't taken for a failure.
func TestMisdirectedResponse(t *testing.T) {
	tr := newTestRouter(t)
	targets := tr.addTargets(plainService, "p1", "p2")
	tr.waitReady(2)
	for body, rest := range failedBodies() {
		t.Run(body, func(t *testing.T) {
			next := make(chan *platformtest.RawResponse, 1)
			next <- &platformtest.RawResponse{Text: "HTTP/1.1 421 Misdirected Request\r\n" + rest}
			for _, target := range targets {
				target.SetRawFrom(func() *platformtest.RawResponse { return takeResponse(next) })
			}
			w := tr.post("/once/x", body, "work")
			require.NoError(t, w.err)
			require.Equal(t, http.StatusOK, w.status)
		})
	}
}

// takeResponse returns the next response of a channel, or nil.
func takeResponse(next chan *platformtest.RawResponse) *platformtest.RawResponse {
	select {
	case raw := <-next:
		return raw
	default:
		return nil
	}
}

// TestFailedResponseWhileMemoryIsShort guards against the same failures, whatever their length, if there is no memory
// to buffer a response.
func TestFailedResponseWhileMemoryIsShort(t *testing.T) {
	const size = 1 << 20
	now := time.Now()
	account := intake.NewAccount(intake.Limits{Size: size, Reserve: 1, AddressShare: 1})
	var others []*intake.Holder
	for range 20 {
		other, _ := account.Open(0, 20, netip.MustParseAddr("127.9.9.9"), now)
		require.NotNil(t, other)
		others = append(others, other)
	}
	tr := newTestRouter(t)
	target := tr.addTargets(plainService, "p1")[0]
	tr.waitReady(1)
	address := serveEntry(t, tr.g, account)
	for body, rest := range failedBodies() {
		t.Run(body, func(t *testing.T) {
			target.SetRawFrom(func() *platformtest.RawResponse {
				for _, other := range others {
					fill(other, now)
				}
				return &platformtest.RawResponse{Text: "HTTP/1.1 503 Service Unavailable\r\n" + rest}
			})
			defer func() {
				for _, other := range others {
					other.Shrink(intake.Response, size)
				}
			}()
			r, err := http.NewRequest(http.MethodPost, "http://"+address+"/once/x", strings.NewReader("work"))
			require.NoError(t, err)
			platformtest.SetCallerHeaders(r, body, testKey, 2*time.Second)
			w, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			require.NoError(t, w.Body.Close())
			require.Equal(t, http.StatusBadGateway, w.StatusCode)
			require.Equal(t, 1, countExecutions(body, []*platformtest.Target{target}))
		})
	}
}

// fill makes a holder hold as much as it can get.
func fill(h *intake.Holder, now time.Time) {
	for n := int64(64 << 10); n > 0; n /= 2 {
		h.Grow(intake.Response, n, now)
	}
}

// TestLongFailureIsRetried guards against a long failure of one target that an idempotent request is answered with,
// while another target would serve it.
func TestLongFailureIsRetried(t *testing.T) {
	for _, line := range []string{"500 Internal Server Error", "502 Bad Gateway", "503 Service Unavailable", "429 Too Many Requests"} {
		for body, rest := range failedBodies() {
			t.Run(line+", "+body, func(t *testing.T) {
				t.Parallel()
				tr := newTestRouter(t)
				targets := tr.addTargets(plainService, "p1", "p2")
				tr.waitReady(2)
				next := make(chan *platformtest.RawResponse, 1)
				next <- &platformtest.RawResponse{Text: "HTTP/1.1 " + line + "\r\n" + rest}
				for _, target := range targets {
					target.SetRawFrom(func() *platformtest.RawResponse { return takeResponse(next) })
				}
				w := tr.post("/safe/x", "a", "work")
				require.NoError(t, w.err)
				require.Equal(t, http.StatusOK, w.status, w.body)
				require.Equal(t, "done a", w.body)
				require.Equal(t, 2, countExecutions("a", targets))
			})
		}
	}
}

// TestLongFailureCounts guards against a target whose long failures aren't counted against it, so that it goes on
// getting as many requests as the others; and checks that such a failure reaches the caller whole.
func TestLongFailureCounts(t *testing.T) {
	tr := newTestRouter(t)
	target := tr.addTargets(plainService, "p1")[0]
	tr.waitReady(1)
	text := "HTTP/1.1 500 Internal Server Error\r\n" + failedBodies()["long"]
	target.SetRaw(&platformtest.RawResponse{Text: text})
	for i := range suspectThreshold / responseFailureWeight {
		w := tr.post("/once/x", name("a", i), "work")
		require.NoError(t, w.err)
		require.Equal(t, http.StatusInternalServerError, w.status)
		require.NotEmpty(t, platformtest.Seal(w.header))
		require.Len(t, w.body, beyondBuffer)
	}
	require.Contains(t, tr.logs.String(), `"@message":"target suspect"`)
}

// TestLongResponseThatBreaksOff guards against a target that breaks off its long responses without being counted as
// failing.
func TestLongResponseThatBreaksOff(t *testing.T) {
	tr := newTestRouter(t)
	target := tr.addTargets(plainService, "p1")[0]
	tr.waitReady(1)
	target.SetRaw(&platformtest.RawResponse{Text: "HTTP/1.1 200 OK\r\n" + failedBodies()["long, stops before end"]})
	for i := range suspectThreshold / responseFailureWeight {
		require.Error(t, tr.post("/once/x", name("a", i), "work").err, "the response doesn't look complete")
	}
	require.Contains(t, tr.logs.String(), `"@message":"target suspect"`)
}

// TestFailurePassedOnByPeer guards against a failure of a target that a peer of an earlier build has passed on with a
// status which promises that the request was not executed. What a peer refuses itself is passed on.
func TestFailurePassedOnByPeer(t *testing.T) {
	tests := map[string]struct {
		byTarget bool
		length   int
		status   int
	}{
		"failure, long":  {true, beyondBuffer, http.StatusBadGateway},
		"failure, short": {true, 10, http.StatusBadGateway},
		"refusal, long":  {false, beyondBuffer, http.StatusServiceUnavailable},
		"refusal, short": {false, 10, http.StatusServiceUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPartitionTestFleet(t, 2)
			f.cut(resetting, 1)
			f.waitRelaying(t, "/once/x", plainService, 1)
			f.routers[1].stopPeerServer()
			serveAt(t, f.routers[1].g.cfg.PeerAddress, func(w http.ResponseWriter, r *http.Request) {
				if tt.byTarget {
					platformtest.SetTargetHeaders(w.Header(), r)
				}
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write([]byte(strings.Repeat("x", tt.length)))
			})
			w := f.routers[0].post("/once/x", "a", "work")
			require.NoError(t, w.err)
			require.Equal(t, tt.status, w.status)
		})
	}
}
