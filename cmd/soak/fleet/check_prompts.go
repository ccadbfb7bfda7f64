package fleet

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"vanillalug.example/platform/platformtest"
)

const (
	// promptTime is how long an engine reads a prompt in checkPrompts.
	promptTime = 10 * time.Millisecond
	// promptsBefore streams come one after the other, so that a router learns how long prompts take, and promptsTogether
	// of them then in a short time, as after other routers were killed.
	promptsBefore   = 16
	promptsTogether = 10
	promptGap       = 20 * time.Millisecond
	shortPromptGap  = time.Millisecond
	// minBegun is the part of the streams that come together which has to begin. The last ones may wait too long where
	// one engine is left for all.
	minBegun = 0.75
)

// checkPrompts returns a violation for each router that refuses most of the streams that come together, while engines
// have room for all of them. No fault is active.
func (h *Harness) checkPrompts() []string {
	h.setSlowEngines(promptTime, platformtest.SlowStream)
	defer h.setSlowEngines(0, platformtest.Serve)
	var violations []string
	for _, r := range h.Routers {
		sendStreams(r, "prompt-before", promptsBefore, promptGap)
		if begun := sendStreams(r, "prompt-together", promptsTogether, shortPromptGap); float64(begun) < minBegun*promptsTogether {
			violations = append(violations, fmt.Sprintf("%s begins %d of %d streams that come together, with room for all", r.Name, begun, promptsTogether))
		}
	}
	return violations
}

// setSlowEngines sets how the engines in use serve streams.
func (h *Harness) setSlowEngines(prompt time.Duration, b platformtest.Behaviour) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range h.targets {
		if t.Service == engineService {
			t.SetPromptTime(prompt)
			t.SetDefault(b)
		}
	}
}

// sendStreams sends streams with prompts to a router and returns how many began.
func sendStreams(r *Router, name string, n int, gap time.Duration) int {
	begun := make(chan bool, n)
	for i := range n {
		id := fmt.Sprintf("%s-%s-%d", name, r.Name, i)
		ownPart := strconv.FormatInt(int64(len(name)<<16|i), 16)
		go func() { begun <- streamBegins(r, id, ownPart) }()
		time.Sleep(gap)
	}
	total := 0
	for range n {
		if <-begun {
			total++
		}
	}
	return total
}

func streamBegins(r *Router, id, ownPart string) bool {
	q, err := http.NewRequest(http.MethodPost, "http://"+r.Entry()+"/stream/x", strings.NewReader("work"))
	if err != nil {
		return false
	}
	platformtest.SetCallerHeaders(q, id, APIKey, callTimeout)
	platformtest.SetPromptParts(q, "m", ownPart)
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	w, err := client.Do(q)
	if err != nil {
		return false
	}
	defer func() { _ = w.Body.Close() }()
	n, _ := io.Copy(io.Discard, w.Body)
	return w.StatusCode == http.StatusOK && n > 0
}
