// Package fault injects faults into stand-ins (simulated servers): tests set
// switches over HTTP.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"vanillalug.example/reception"
)

// Faults are the fault switches of a stand-in. Zero switches are off. A counted
// switch injects its fault that many times.
type Faults struct {
	// Down closes every connection without a response.
	Down bool `json:"down,omitempty"`
	// SlowMS delays every response, in milliseconds.
	SlowMS int `json:"slow-ms,omitempty"`
	// LoseResponses closes the connection after the request has taken effect,
	// so many times.
	LoseResponses int `json:"lose-answers,omitempty"`
	// AbortBeforeEffect closes the connection before the request takes effect,
	// so many times.
	AbortBeforeEffect int `json:"cut-before,omitempty"`
	// StaleReads serves reads from a copy made when the switch was set.
	StaleReads bool `json:"stale-reads,omitempty"`
	// Redirect answers calls with a redirect to the same path.
	Redirect bool `json:"redirect,omitempty"`
	// Leaving makes an engine or a worker report that it is leaving (being
	// drained).
	Leaving bool `json:"leaving,omitempty"`
	// AbortAfterTokens closes streams after so many tokens, AbortStreams times.
	AbortAfterTokens int `json:"cut-after-tokens,omitempty"`
	AbortStreams     int `json:"cut-streams,omitempty"`
	// StallAfterTokens stops sending after so many tokens without closing the
	// connection, StallStreams times. A service stalls StallStreams responses.
	StallAfterTokens int `json:"silent-after-tokens,omitempty"`
	StallStreams     int `json:"silent-streams,omitempty"`
	// Shuffle sends every third token twice and some out of order.
	Shuffle bool `json:"shuffle,omitempty"`
	// WrongIDs inserts tokens of another request into streams, so many times.
	WrongIDs int `json:"wrong-ids,omitempty"`
	// OmitTerminator ends streams cleanly but without the usage chunk and the
	// terminator, so many times.
	OmitTerminator int `json:"end-early,omitempty"`
	// DropCacheEvents leaves out the first event of each response with cache
	// events.
	DropCacheEvents bool `json:"drop-cache-events,omitempty"`
	// CrashOn ends an engine with SIGKILL when it has read a chat whose last message begins with it.
	CrashOn string `json:"crash-on,omitempty"`
	// Unavailable answers calls with 503, so many times.
	Unavailable int `json:"refuse,omitempty"`
}

// Injector holds the fault switches of one stand-in.
type Injector struct {
	mu     sync.Mutex
	faults Faults
	notify func(Faults)
}

// NewInjector returns an injector with all switches off. Notify, if not nil, is
// called with the new switches after each change.
func NewInjector(notify func(Faults)) *Injector { return &Injector{notify: notify} }

// Register adds the handler of POST /faults to a server.
func (in *Injector) Register(s *reception.Server) {
	s.Handle(http.MethodPost, "/faults", in.set)
}

// Current returns the current switches.
func (in *Injector) Current() Faults {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.faults
}

// Consume reports whether a counted switch is above zero, and if so decrements
// it.
func (in *Injector) Consume(counter func(*Faults) *int) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	n := counter(&in.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// OnRequest applies SlowMS and Down. Handlers call it before they do any work.
func (in *Injector) OnRequest(r *http.Request) {
	f := in.Current()
	if f.SlowMS > 0 {
		wait(r, time.Duration(f.SlowMS)*time.Millisecond)
	}
	if f.Down {
		Abort()
	}
}

// Abort closes the connection without a response. It panics with
// http.ErrAbortHandler.
func Abort() { panic(http.ErrAbortHandler) }

func wait(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-r.Context().Done():
	case <-t.C:
	}
}

func (in *Injector) set(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	in.mu.Lock()
	in.faults = f
	in.mu.Unlock()
	if in.notify != nil {
		in.notify(f)
	}
	w.WriteHeader(http.StatusNoContent)
}
