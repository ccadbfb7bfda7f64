package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"vanillalug.example/platform/platformtest"
)

// readingEngine reads prompts one after the other, and writes events with pauses.
type readingEngine struct {
	// readTime is the time to read a prompt, pause that between two events.
	readTime, pause time.Duration
	events          int
	// failure is the status and reason of the response that the engine gives in place of events, or "".
	failure string
	prompt  sync.Mutex
}

// set changes how long the engine reads a prompt, and what it responds then.
func (e *readingEngine) set(readTime time.Duration, failure string) {
	e.prompt.Lock()
	defer e.prompt.Unlock()
	e.readTime, e.failure = readTime, failure
}

// ServeHTTP implements http.Handler.
func (e *readingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	platformtest.SetTargetHeaders(w.Header(), r)
	w.Header().Set("Content-Type", "text/event-stream")
	e.prompt.Lock()
	time.Sleep(e.readTime)
	failure := e.failure
	e.prompt.Unlock()
	if failure != "" {
		status, _ := strconv.Atoi(failure[:3])
		w.WriteHeader(status)
		return
	}
	for n := range e.events {
		if n > 0 {
			time.Sleep(e.pause)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: {}\n\n", n+1); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// addReadingEngine adds an engine of promptService.
func (tr *testRouter) addReadingEngine(id string, e *readingEngine) {
	server := httptest.NewServer(e)
	tr.t.Cleanup(server.Close)
	stand, err := platformtest.NewTarget(id, promptService, true)
	require.NoError(tr.t, err)
	tr.t.Cleanup(stand.Close)
	entry := stand.Entry("ready")
	entry["address"] = strings.TrimPrefix(server.URL, "http://")
	tr.store.PutJSON("servers", id, entry)
}

// TestLongStreamsAreNoLongPrompts guards against streams that are refused for want of time to read prompts while
// engines idle, as the time up to every event was taken for the time to read the prompt.
func TestLongStreamsAreNoLongPrompts(t *testing.T) {
	const (
		readTime = 25 * time.Millisecond
		pause    = 25 * time.Millisecond
		// gap is the time between two streams that come while the prompts before are read.
		gap     = 3 * time.Millisecond
		events  = 30
		before  = 16
		engines = 2
		// together is how many streams come at a time: one for each engine and one that waits for it.
		together = 2 * engines
	)
	tr := newTestRouter(t)
	for i := range engines {
		tr.addReadingEngine(name("e", i), &readingEngine{readTime: readTime, pause: pause, events: events})
	}
	tr.waitReady(engines)
	responses := make(chan callerResponse, before+together)
	post := func(id string) {
		go func() {
			responses <- tr.send(http.MethodPost, "/prompt/x", id, strings.NewReader("work"), withParts(id, "c0"))
		}()
	}
	for i := range before {
		post(name("a", i))
		time.Sleep(pause)
	}
	time.Sleep(2 * pause)
	for i := range together {
		post(name("b", i))
		time.Sleep(gap)
	}
	for range before + together {
		w := <-responses
		require.NoError(t, w.err)
		require.Equal(t, http.StatusOK, w.status, w.body)
	}
	require.Less(t, tr.g.prefillTimes.PerThousand(promptService), events*pause/8, "the time for 1,000 tokens")
}

// TestWhatIsNoPromptTime guards against an estimate of the time to read prompts that rises by what has other
// reasons: engines would seem to be short of time after a disruption.
func TestWhatIsNoPromptTime(t *testing.T) {
	const late = 300 * time.Millisecond
	none := func(*http.Request) {}
	tests := map[string]struct {
		change  func(*http.Request)
		failure string
		rises   bool
	}{
		"a prompt that takes long": {none, "", true},
		"a stream taken up again":  {func(r *http.Request) { platformtest.SetResumes(r, "first", 3) }, "", false},
		"a failure in place of it": {none, "500 Internal Server Error", false},
		"a refusal in place of it": {none, "503 Service Unavailable", false},
		"an end in place of it":    {none, "200 OK", false},
	}
	for title, tt := range tests {
		t.Run(title, func(t *testing.T) {
			t.Parallel()
			tr := newTestRouter(t)
			engine := &readingEngine{events: 3}
			tr.addReadingEngine("e0", engine)
			tr.waitReady(1)
			w := tr.send(http.MethodPost, "/prompt/x", "first", strings.NewReader("work"), withParts("a", "c0"))
			require.Equal(t, http.StatusOK, w.status, w.body)
			for _, tokens := range []int{1000, 2000} {
				tr.g.prefillTimes.Observe(promptService, tokens, time.Duration(tokens)*time.Microsecond)
			}
			before := tr.g.prefillTimes.PerThousand(promptService)
			engine.set(late, tt.failure)
			w = tr.send(http.MethodPost, "/prompt/x", "second", strings.NewReader("work"), withParts("a", "c0"), tt.change)
			require.NoError(t, w.err)
			require.Equal(t, tt.failure == "", w.status == http.StatusOK && w.body != "", "%d %s", w.status, w.body)
			after := tr.g.prefillTimes.PerThousand(promptService)
			require.Equal(t, tt.rises, after > before, "%s, then %s", before, after)
		})
	}
}
