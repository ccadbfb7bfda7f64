package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const beatInterval = 1200 * time.Millisecond

// Worker is a stand-in for one worker: an engine that streams events, or a plain application.
// Each Start is a new lifetime under the same id and address.
type Worker struct {
	ID, Service, Zone, address string
	Slots                      int
	// MaxQueue is how many requests wait for a slot before further ones are rejected.
	MaxQueue int
	// Step is the time between events of a stream, or the work time of a plain request.
	Step time.Duration
	// Before is called when a request begins to run; it may crash the worker and return false.
	Before func(w *Worker, r *http.Request, body string) bool
	// BeatOnce makes the worker write its entry once in a lifetime.
	BeatOnce bool
	// Deadly reports whether a request crashes the worker once it begins to write the answer, which
	// WriteBeforeCrash does; OnCrash is called then.
	Deadly           func(r *http.Request) bool
	WriteBeforeCrash func(out http.ResponseWriter, r *http.Request)
	OnCrash          func()
	// Brittle is nil, or tells how brittle the worker is now.
	Brittle func() Brittle
	// OnFall is called when the worker falls over.
	OnFall func()
	// Headers are added to all answers.
	Headers func() map[string]string
	// Reject is called before a request is accepted; it may return headers of a 503.
	Reject func(r *http.Request) map[string]string

	store *Store
	rec   *Record

	mu       sync.Mutex
	version  string
	state    string
	born     int64
	sequence int
	lifetime int
	server   *http.Server
	stop     chan struct{}
	running  int
	waiting  int
	slots    chan struct{}
	beats    bool
	rejected []time.Time
}

// Brittle is what a worker says in Server-Brittle, and whether it acts so already: then nothing waits,
// and it falls over when it turns away more than MaxRejected requests in a second.
type Brittle struct {
	MaxRejected int
	Stated      bool
	InForce     bool
}

func (w *Worker) brittle() Brittle {
	if w.Brittle == nil {
		return Brittle{}
	}
	return w.Brittle()
}

// NewWorker returns a worker with a free loopback address that isn't started.
func NewWorker(s *Store, rec *Record, id, service, zone, version string, slots int) *Worker {
	return &Worker{
		ID: id, Service: service, Zone: zone, Slots: slots, MaxQueue: 4 * slots, Step: 60 * time.Millisecond,
		store: s, rec: rec, version: version, address: freeAddress(), state: "ready",
	}
}

// Start starts a lifetime at the worker's address, and registers it.
func (w *Worker) Start() {
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp4", w.address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	must(err)
	w.mu.Lock()
	w.born = time.Now().UnixMilli()
	w.sequence = 0
	w.lifetime++
	w.state = "ready"
	w.beats = true
	w.running, w.waiting, w.rejected = 0, 0, nil
	w.slots = make(chan struct{}, w.Slots)
	w.stop = make(chan struct{})
	w.server = &http.Server{Handler: w.handler(w.lifetime, w.version, w.slots)}
	server, stop := w.server, w.stop
	w.rec.Add("worker %s starts: version %s, born %d, address %s", w.ID, w.version, w.born, w.address)
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	go func() {
		for {
			if !w.BeatOnce || !w.registered() {
				w.Beat()
			}
			select {
			case <-stop:
				return
			case <-time.After(beatInterval):
			}
		}
	}()
}

// entry returns the worker's registry entry; the caller holds mu.
func (w *Worker) entry() map[string]any {
	return map[string]any{
		"service": w.Service, "address": w.address, "zone": w.Zone, "version": w.version, "slots": w.Slots,
		"state": w.state, "cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	}
}

func (w *Worker) registered() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sequence > 0
}

// Beat writes the entry, unless beats are stopped.
func (w *Worker) Beat() {
	w.mu.Lock()
	if !w.beats {
		w.mu.Unlock()
		return
	}
	w.sequence++
	e := w.entry()
	w.mu.Unlock()
	w.store.Put("servers", w.ID, e)
}

// Entry returns the current entry, for a write that is delayed.
func (w *Worker) Entry() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return w.entry()
}

// SetVersion sets the software version of later lifetimes.
func (w *Worker) SetVersion(v string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = v
}

// StopBeats ends the writes to the registry; remove also removes the entry.
func (w *Worker) StopBeats(remove bool) {
	w.mu.Lock()
	w.beats = false
	w.mu.Unlock()
	if remove {
		w.store.Delete("servers", w.ID)
	}
}

// Crash ends the lifetime: its connections are closed and nothing is said to anybody.
// It reports whether a lifetime ran.
func (w *Worker) Crash(why string) bool {
	w.mu.Lock()
	server, stop := w.server, w.stop
	w.server = nil
	w.beats = false
	w.mu.Unlock()
	if server == nil {
		return false
	}
	close(stop)
	w.rec.Add("worker %s ends: %s", w.ID, why)
	_ = server.Close()
	return true
}

// crashOn crashes the worker on a request; onCrash is called once for each lifetime.
func (w *Worker) crashOn(r *http.Request, d time.Duration, onCrash func()) {
	time.Sleep(5 * time.Millisecond)
	go func() {
		if w.CrashFor(d, "crashes on "+r.Header.Get("X-Attempt-Id")) {
			onCrash()
		}
	}()
	time.Sleep(5 * time.Millisecond)
}

// CrashFor crashes the worker and starts it again after a time. It reports whether a lifetime ran.
func (w *Worker) CrashFor(d time.Duration, why string) bool {
	if !w.Crash(why) {
		return false
	}
	time.AfterFunc(d, w.Start)
	return true
}

// Alive reports whether a lifetime runs.
func (w *Worker) Alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server != nil
}

func (w *Worker) current(lifetime int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server != nil && w.lifetime == lifetime
}

func (w *Worker) handler(lifetime int, version string, slots chan struct{}) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		h := out.Header()
		h["Date"] = nil
		if w.Headers != nil {
			for k, v := range w.Headers() {
				h.Set(k, v)
			}
		}
		w.mu.Lock()
		h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", w.running, w.waiting, w.Slots))
		w.mu.Unlock()
		switch r.URL.Path {
		case "/healthz":
			h.Set("X-Instance-Id", w.ID)
			return
		case "/kv-list":
			h.Set("Content-Type", "application/json")
			_ = json.NewEncoder(out).Encode(map[string]any{"epoch": lifetime, "next_token": 0, "held": []any{}})
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		h.Set("X-Attempt-Id", id)
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.ID {
			h.Set("X-Instance-Id", w.ID)
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if w.Reject != nil {
			if extra := w.Reject(r); extra != nil {
				for k, v := range extra {
					h.Set(k, v)
				}
				h.Set("X-Not-Executed", "1")
				out.WriteHeader(http.StatusServiceUnavailable)
				return
			}
		}
		brittle := w.brittle()
		if brittle.Stated {
			h.Set("Server-Brittle", strconv.Itoa(brittle.MaxRejected))
		}
		if !w.enter(brittle.InForce) {
			w.rec.Add("%s turns %s away", w.ID, id)
			if n := w.countRejected(); brittle.InForce && n > brittle.MaxRejected {
				w.crashOn(r, backTime-500*time.Millisecond+rand.N(time.Second), w.OnFall)
				panic(http.ErrAbortHandler)
			}
			h.Set("X-Not-Executed", "1")
			out.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		select {
		case slots <- struct{}{}:
		case <-r.Context().Done():
			w.leaveQueue()
			panic(http.ErrAbortHandler)
		}
		w.begin()
		defer func() { <-slots; w.end() }()
		w.rec.Run(w.ID, version, r)
		if w.Before != nil && !w.Before(w, r, string(body)) {
			panic(http.ErrAbortHandler)
		}
		h.Set("X-Response-Seal", fmt.Sprintf("%s.%d.%s", w.ID, lifetime, id))
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			w.stream(out, r, lifetime, version)
			return
		}
		select {
		case <-time.After(w.Step):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if !w.current(lifetime) {
			panic(http.ErrAbortHandler)
		}
		h.Set("Content-Type", "text/plain")
		_, _ = fmt.Fprintf(out, "%s did %s\n", w.ID, id)
	})
}

// enter reports whether there is room for a request. If none may wait, it must have a slot at once.
func (w *Worker) enter(noneWaits bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting >= w.MaxQueue || noneWaits && w.running+w.waiting >= w.Slots {
		return false
	}
	w.waiting++
	return true
}

// countRejected records that a request was turned away, and returns how many were in the last second.
func (w *Worker) countRejected() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.rejected = append(w.rejected, now)
	for _, at := range w.rejected {
		if now.Sub(at) < time.Second {
			n++
		}
	}
	return n
}

func (w *Worker) leaveQueue() { w.mu.Lock(); w.waiting--; w.mu.Unlock() }
func (w *Worker) begin()      { w.mu.Lock(); w.waiting--; w.running++; w.mu.Unlock() }
func (w *Worker) end()        { w.mu.Lock(); w.running--; w.mu.Unlock() }

// stream sends the events after Last-Event-Id, up to the number in the path: /stream/N/...
func (w *Worker) stream(out http.ResponseWriter, r *http.Request, lifetime int, version string) {
	fields := strings.Split(r.URL.Path, "/")
	total, _ := strconv.Atoi(fields[2])
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	h := out.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("X-Weight-Versions", "1")
	if w.Deadly != nil && w.Deadly(r) {
		time.Sleep(w.Step)
		w.WriteBeforeCrash(out, r)
		w.crashOn(r, backTime, w.OnCrash)
		panic(http.ErrAbortHandler)
	}
	flusher := http.NewResponseController(out)
	for n := last + 1; n <= total; n++ {
		select {
		case <-time.After(w.Step):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if !w.current(lifetime) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: event %d by %s software %s\n\n", n, n, w.ID, version); err != nil {
			return
		}
		if err := flusher.Flush(); err != nil {
			return
		}
	}
}
