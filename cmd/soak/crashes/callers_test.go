package crashes

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"vanillalug.example/cmd/soak/fleet"
	"vanillalug.example/platform/platformtest"
)

const (
	commonPart = "c0ffee"
	deadlyPart = "deadbeef"
	topics     = 6
	// deadlyPrefix begins the ids of requests with the deadly part.
	deadlyPrefix = "deadly"
	callTimeout  = 4 * time.Second
	// soundInterval is the time between two sound requests.
	soundInterval = 25 * time.Millisecond
)

// call is a sound request and whether its whole stream came.
type call struct {
	at    time.Time
	whole bool
}

// callers send requests to the routers in turn.
type callers struct {
	routers []*fleet.Router
	number  atomic.Int64
	group   sync.WaitGroup

	mu    sync.Mutex
	calls []call
}

// send sends a request whose prompt has the parts, and one of its own. It reports whether the
// whole stream came.
func (c *callers) send(prefix string, parts ...string) bool {
	n := c.number.Add(1)
	router := c.routers[n%int64(len(c.routers))]
	r, err := http.NewRequest(http.MethodPost, "http://"+router.Entry()+"/stream/"+strconv.FormatInt(n, 10), nil)
	if err != nil {
		return false
	}
	platformtest.SetCallerHeaders(r, prefix+strconv.FormatInt(n, 10), apiKey, callTimeout)
	topic := strconv.FormatInt(0x7000+n%topics, 16)
	own := strconv.FormatInt(0x100000+n, 16)
	platformtest.SetPromptParts(r, "m", append(parts, topic, own)...)
	client := &http.Client{Timeout: 2 * callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := io.ReadAll(w.Body)
	return err == nil && w.StatusCode == http.StatusOK && strings.Count(string(raw), "\n\n") == streamEvents
}

// sendSound sends sound requests at intervals until the channel is closed.
func (c *callers) sendSound(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(soundInterval):
		}
		c.group.Go(func() {
			at := time.Now()
			whole := c.send("sound", commonPart)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.calls = append(c.calls, call{at, whole})
		})
	}
}

// sendDeadly sends that many requests with the deadly part, a time apart.
func (c *callers) sendDeadly(n int, apart time.Duration) {
	for range n {
		c.group.Go(func() { c.send(deadlyPrefix, commonPart, deadlyPart) })
		time.Sleep(apart)
	}
}

// wholeBetween returns how many sound requests were sent between two times, and how many got their
// whole stream.
func (c *callers) wholeBetween(from, to time.Time) (sent, whole int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.calls {
		if x.at.Before(from) || x.at.After(to) {
			continue
		}
		sent++
		if x.whole {
			whole++
		}
	}
	return sent, whole
}
