package fleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// APIKey is the key of the callers.
	APIKey = "key-1"
	// callWait is how long a caller waits for an answer.
	callWait   = 2500 * time.Millisecond
	callPause  = 30 * time.Millisecond
	afterError = 100 * time.Millisecond
)

// Paths are the routes that callers use.
var Paths = []string{"/safe/x", "/once/x", "/stream/x", "/broken/x"}

// Call is one request and what its caller got.
type Call struct {
	ID     string
	Path   string
	Router string
	Status int
	Seal   string
	Body   string
	Err    error
}

// CallLog has every call that ended.
type CallLog struct {
	mu    sync.Mutex
	calls []Call
}

// Calls returns the calls so far.
func (j *CallLog) Calls() []Call {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Call(nil), j.calls...)
}

func (j *CallLog) add(c Call) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.calls = append(j.calls, c)
}

// RunCaller sends requests to a router, one after the other, on a connection that
// it keeps until the router's process is gone, until told to stop.
func (j *CallLog) RunCaller(name string, r *Router, random *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{
		Timeout:   callWait,
		Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true},
	}
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		c := Call{ID: fmt.Sprintf("%s-%d", name, n), Path: Paths[random.IntN(len(Paths))], Router: r.Name}
		send(client, r.CallerProxy.Address(), &c)
		j.add(c)
		time.Sleep(callPause)
		if c.Err != nil {
			time.Sleep(afterError)
		}
	}
}

// send sends a request and reads its whole answer.
func send(client *http.Client, address string, c *Call) {
	r, err := http.NewRequest(http.MethodPost, "http://"+address+c.Path, io.NopCloser(strings.NewReader("work")))
	if err != nil {
		c.Err = err
		return
	}
	r.ContentLength = int64(len("work"))
	platformtest.SetCallerHeaders(r, c.ID, APIKey, callWait)
	w, err := client.Do(r)
	if err != nil {
		c.Err = err
		return
	}
	defer func() { _ = w.Body.Close() }()
	body, err := io.ReadAll(w.Body)
	c.Status, c.Seal, c.Body, c.Err = w.StatusCode, platformtest.Seal(w.Header), string(body), err
}

// SendDirect sends one request to a router past its proxy and returns the status.
func SendDirect(r *Router, path, id string) (int, error) {
	c := Call{ID: id, Path: path}
	client := &http.Client{Timeout: callWait, Transport: &http.Transport{DisableKeepAlives: true}}
	send(client, r.Entry(), &c)
	return c.Status, c.Err
}
