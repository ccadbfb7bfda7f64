// Package fault holds the fault switches of a stand-in.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"vanillalug.example/reception"
)

// Faults are the switches of a stand-in. Zero switches are off. Counted
// switches go down by one each time they strike.
type Faults struct {
	// Down closes every connection without an answer.
	Down bool `json:"down,omitempty"`
	// SlowMS delays every answer.
	SlowMS int `json:"slow-ms,omitempty"`
	// LoseResponses cuts the connection after the effect, so many times.
	LoseResponses int `json:"lose-answers,omitempty"`
	// AbortBeforeEffect cuts the connection before the effect, so many times.
	AbortBeforeEffect int `json:"cut-before,omitempty"`
	// StaleReads answers reads with what was true when the switch was set.
	StaleReads bool `json:"stale-reads,omitempty"`
	// Redirect answers calls with a redirect to themselves.
	Redirect bool `json:"redirect,omitempty"`
	// Leaving makes an engine report that it leaves.
	Leaving bool `json:"leaving,omitempty"`
	// AbortAfterTokens cuts streams after so many tokens, CutStreams times.
	AbortAfterTokens int `json:"cut-after-tokens,omitempty"`
	AbortStreams     int `json:"cut-streams,omitempty"`
	// StallAfterTokens stops sending without closing, SilentStreams times.
	StallAfterTokens int `json:"silent-after-tokens,omitempty"`
	StallStreams     int `json:"silent-streams,omitempty"`
	// Shuffle sends every third token twice and some out of order.
	Shuffle bool `json:"shuffle,omitempty"`
	// WrongIDs mixes tokens of another request into streams, so many times.
	WrongIDs int `json:"wrong-ids,omitempty"`
	// OmitTerminator ends streams cleanly but without a terminator, so many times.
	OmitTerminator int `json:"end-early,omitempty"`
	// DropCacheEvents loses cache events.
	DropCacheEvents bool `json:"drop-cache-events,omitempty"`
	// Unavailable answers calls with 503, so many times.
	Unavailable int `json:"refuse,omitempty"`
}

// Injector is a set of switches that tests set over HTTP.
type Injector struct {
	mu     sync.Mutex
	faults Faults
	notify func(Faults)
}

// NewInjector returns a panel with all switches off. Notify, if not nil, is
// called with each new setting.
func NewInjector(notify func(Faults)) *Injector { return &Injector{notify: notify} }

// Register adds the panel to a server.
func (p *Injector) Register(s *reception.Server) {
	s.Handle(http.MethodPost, "/faults", p.set)
}

// Current returns the switches as they stand.
func (p *Injector) Current() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Consume reports whether a counted switch strikes now, and counts it down.
func (p *Injector) Consume(counter func(*Faults) *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := counter(&p.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// OnRequest applies the switches that come before any work.
func (p *Injector) OnRequest(r *http.Request) {
	f := p.Current()
	if f.SlowMS > 0 {
		wait(r, time.Duration(f.SlowMS)*time.Millisecond)
	}
	if f.Down {
		Abort()
	}
}

// Abort ends the connection without an answer.
func Abort() { panic(http.ErrAbortHandler) }

func wait(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.Context().Done():
	case <-t.C:
	}
}

func (p *Injector) set(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.faults = f
	p.mu.Unlock()
	if p.notify != nil {
		p.notify(f)
	}
	w.WriteHeader(http.StatusNoContent)
}
