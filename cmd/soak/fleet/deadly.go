package fleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// promptService has engines that crash on a part of the prompt.
	promptService = "prompts"
	deadlyPart    = "deadbeef"
	promptEngines = 6
	// crashTime is how long an engine is away after a crash.
	crashTime = time.Second
	// maxDeadlyPause is the longest time between two requests with the part.
	maxDeadlyPause = 400 * time.Millisecond
	// maxLateDeadly is how many requests with the part may reach engines once all routers must know.
	maxLateDeadly = 3
	// crashesToKnow is after how many crashes they must.
	crashesToKnow = 5
)

// deadlySend is a request with the deadly part, and the router that it was sent to.
type deadlySend struct {
	router *Router
	at     time.Time
}

// deadlyTraffic has the requests with the deadly part and the engines that crash on it.
type deadlyTraffic struct {
	mu      sync.Mutex
	sends   map[string]deadlySend
	engines []*platformtest.Target
}

// SendDeadlyParts sends requests with a part of the prompt that crashes engines, with pauses, from some
// moment until the end time. Engines that crashed are replaced.
func (h *Harness) SendDeadlyParts(random *rand.Rand, end time.Time) error {
	beginnings := []platformtest.Behaviour{platformtest.HeadOnly, platformtest.ResetAfter, platformtest.TruncateSecond}
	beginning := beginnings[random.IntN(len(beginnings))]
	for n := range promptEngines {
		if err := h.startPromptEngine(n, beginning); err != nil {
			return err
		}
	}
	var sends sync.WaitGroup
	defer sends.Wait()
	time.Sleep(time.Duration(random.Int64N(int64(changeInterval))))
	h.record("requests with a deadly part begin: " + string(beginning))
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(random.Int64N(int64(maxDeadlyPause))))
		if err := h.replaceCrashed(beginning); err != nil {
			return err
		}
		id, router := "deadly-"+strconv.Itoa(n), h.randomRouter(random)
		h.deadly.mu.Lock()
		h.deadly.sends[id] = deadlySend{router, time.Now()}
		h.deadly.mu.Unlock()
		sends.Go(func() { sendPrompt(router, id, deadlyPart) })
		sends.Go(func() { sendPrompt(router, "sound-"+strconv.Itoa(n), "70b1c") })
	}
	return nil
}

// sendPrompt sends a request whose prompt has a part, one that all share and one of its own.
func sendPrompt(router *Router, id, part string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+router.Entry()+"/prompt/"+id, nil)
	if err != nil {
		return
	}
	platformtest.SetCallerHeaders(r, id, APIKey, callTimeout)
	platformtest.SetPromptParts(r, "m", "c0ffee", part, fmt.Sprintf("%x", rand.Uint32()))
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := client.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = w.Body.Close() }()
	// A router takes no evidence from a request whose caller has left.
	_, _ = io.Copy(io.Discard, w.Body)
}

func (h *Harness) startPromptEngine(n int, beginning platformtest.Behaviour) error {
	h.deadly.mu.Lock()
	defer h.deadly.mu.Unlock()
	t, err := platformtest.NewTarget(fmt.Sprintf("%s-%d-%d", promptService, n, len(h.deadly.engines)), promptService, true)
	if err != nil {
		return err
	}
	t.Place = places[n%len(places)]
	t.SetDeadlyPart(deadlyPart, beginning)
	h.deadly.engines = append(h.deadly.engines, t)
	h.store.PutJSON("servers", t.ID, t.Entry("ready"))
	return nil
}

// crashedAt returns when an engine ran a deadly request, or the zero time.
func crashedAt(t *platformtest.Target) time.Time {
	for _, e := range t.Executions() {
		if strings.HasPrefix(e.ID, "deadly-") {
			return e.At
		}
	}
	return time.Time{}
}

// replaceCrashed starts an engine in place of each that crashed a while ago.
func (h *Harness) replaceCrashed(beginning platformtest.Behaviour) error {
	h.deadly.mu.Lock()
	engines := slices.Clone(h.deadly.engines)
	h.deadly.mu.Unlock()
	for n, t := range engines {
		at := crashedAt(t)
		if at.IsZero() || time.Since(at) < crashTime || h.store.Value("servers", t.ID) == nil {
			continue
		}
		h.store.Delete("servers", t.ID)
		if err := h.startPromptEngine(n%promptEngines, beginning); err != nil {
			return err
		}
	}
	return nil
}

// checkDeadly returns a violation if too many requests with the part reached engines, through routers in
// touch, once all routers must know it. Five crashes count while the store serves: what was learnt while
// it was away, or served a copy, may be lost with all routers.
func (h *Harness) checkDeadly() []string {
	var runs []platformtest.Execution
	for _, t := range h.deadly.engines {
		for _, e := range t.Executions() {
			if strings.HasPrefix(e.ID, "deadly-") {
				runs = append(runs, e)
			}
		}
	}
	slices.SortFunc(runs, func(a, b platformtest.Execution) int { return a.At.Compare(b.At) })
	for first := 0; first+crashesToKnow <= len(runs); first++ {
		began, known := runs[first].At, runs[first+crashesToKnow-1].At.Add(contactTime)
		if !h.contact.storeFaults.quietBetween(began, known) {
			continue
		}
		if late := h.lateDeadly(runs, began, known); late > maxLateDeadly {
			return []string{fmt.Sprintf("%d requests with a deadly part reached engines later than %s after the fifth crash at %.3f, %d crashes in all",
				late, contactTime, began.Sub(h.start).Seconds(), len(runs))}
		}
	}
	return nil
}

// lateDeadly counts the runs after a time that routers in touch sent, while the store has had no copy since
// the crashes began.
func (h *Harness) lateDeadly(runs []platformtest.Execution, began, known time.Time) (late int) {
	for _, e := range runs {
		send := h.deadly.sends[e.ID]
		if e.At.After(known) && h.contact.inTouch(send.router, send.at) && h.contact.storeReplaced.quietBetween(began, e.At) {
			late++
		}
	}
	return late
}
