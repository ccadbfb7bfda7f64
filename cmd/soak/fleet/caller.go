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
	// APIKey is the API key of the callers.
	APIKey = "key-1"
	// callTimeout is how long a caller waits for a response.
	callTimeout  = 2500 * time.Millisecond
	callInterval = 30 * time.Millisecond
	errorBackoff = 100 * time.Millisecond
	// maxGoOnTries is how often a caller tries to go on with a stream at a router that gives
	// no answer.
	maxGoOnTries = 30
)

// Paths are the request paths of the callers.
var Paths = []string{"/safe/x", "/once/x", "/stream/x", "/broken/x", "/cold/x"}

// Call is one request and its result at the caller.
type Call struct {
	ID     string
	Path   string
	Router string
	Sent   time.Time
	Status int
	Seal   string
	Body   string
	Err    error
	// Resumes is the attempt whose stream the call goes on with, after After events; "" for a
	// new request.
	Resumes string
	After   int
}

// CallLog holds every completed call.
type CallLog struct {
	mu    sync.Mutex
	calls []Call
}

// Calls returns the calls so far.
func (l *CallLog) Calls() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Call(nil), l.calls...)
}

func (l *CallLog) add(c Call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

// RunCaller sends requests to a router, one after the other, until stop is
// closed. It reuses its connection for as long as the router's process runs. Streams that break
// off go on at another router.
func (l *CallLog) RunCaller(name string, r, other *Router, random *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{
		Timeout:   callTimeout,
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
		l.add(c)
		l.goOn(client, c, other)
		time.Sleep(callInterval)
		if c.Err != nil {
			time.Sleep(errorBackoff)
		}
	}
}

// goOn goes on with a stream that broke off, if it did, at a router. It tries again while that one
// doesn't answer, as all may have been killed.
func (l *CallLog) goOn(client *http.Client, c Call, at *Router) {
	again, ok := c.goesOn(at.Name)
	if !ok {
		return
	}
	first := again.ID
	for n := range maxGoOnTries {
		again.ID = fmt.Sprintf("%s%d", first, n)
		send(client, at.CallerProxy.Address(), &again)
		l.add(again)
		if again.Status != 0 {
			return
		}
		again.Err = nil
		time.Sleep(errorBackoff)
	}
}

// goesOn returns the call that goes on with a stream that broke off after some events.
func (c Call) goesOn(router string) (Call, bool) {
	events := strings.Count(c.Body, "\n\n")
	if c.Err == nil || events == 0 || events >= platformtest.Events {
		return Call{}, false
	}
	return Call{ID: c.ID + "-again", Path: c.Path, Router: router, Resumes: c.ID, After: events}, true
}

// send sends a request and reads the complete response.
func send(client *http.Client, address string, c *Call) {
	c.Sent = time.Now()
	r, err := http.NewRequest(http.MethodPost, "http://"+address+c.Path, io.NopCloser(strings.NewReader("work")))
	if err != nil {
		c.Err = err
		return
	}
	r.ContentLength = int64(len("work"))
	platformtest.SetCallerHeaders(r, c.ID, APIKey, callTimeout)
	if c.Resumes != "" {
		platformtest.SetResumes(r, c.Resumes, c.After)
	}
	w, err := client.Do(r)
	if err != nil {
		c.Err = err
		return
	}
	defer func() { _ = w.Body.Close() }()
	body, err := io.ReadAll(w.Body)
	c.Status, c.Seal, c.Body, c.Err = w.StatusCode, platformtest.Seal(w.Header), string(body), err
}

// SendDirect sends one request to a router, not through its proxy, and returns
// the status.
func SendDirect(r *Router, path, id string) (int, error) {
	c := Call{ID: id, Path: path}
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	send(client, r.Entry(), &c)
	return c.Status, c.Err
}
