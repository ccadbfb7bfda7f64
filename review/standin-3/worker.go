package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// worker is a stand-in for a worker of one service. It serves streams below
// /chat/ and plain requests below any other path. SIGTERM makes it report
// draining; it ends when the time in -linger has passed.
type worker struct {
	id, service, zone, version, address, store string

	born     int64
	slots    int
	piece    time.Duration
	pieces   int
	work     time.Duration
	beat     time.Duration
	sequence atomic.Int64
	leaving  atomic.Bool
	active   atomic.Int64
	// reports gets what the worker ran; "" reports nothing.
	reports string
	// failEvery makes it answer every so many requests that it ran with a status 503 of its own, which doesn't
	// state that the request was not run, and failBytes is the length of that answer; 0 is never.
	failEvery, failBytes int
	runs                 atomic.Int64
	// prefillRate is how many prompt tokens an engine reads in a millisecond, one prompt after the
	// other; 0 for a worker that is none.
	prefillRate float64
	prefill     sync.Mutex
}

// firstPiece is the time to the first event of a run.
const firstPiece = 16 * time.Millisecond

func runWorker(args []string) {
	w := &worker{born: time.Now().UnixMilli()}
	f := flag.NewFlagSet("worker", flag.ExitOnError)
	f.StringVar(&w.id, "id", "", "id")
	f.StringVar(&w.service, "service", "", "service")
	f.StringVar(&w.zone, "zone", "a", "zone")
	f.StringVar(&w.version, "version", "v1", "software version")
	f.StringVar(&w.address, "address", "", "address and port")
	f.StringVar(&w.store, "store", "", "address of the store")
	f.StringVar(&w.reports, "reports", "", "address of the runner, which gets what ran")
	f.IntVar(&w.slots, "slots", 64, "slots")
	f.IntVar(&w.pieces, "pieces", 20, "events of a stream")
	f.DurationVar(&w.piece, "piece", 150*time.Millisecond, "time between events")
	f.DurationVar(&w.work, "work", 30*time.Millisecond, "time of a plain request")
	f.IntVar(&w.failEvery, "fail-every", 0, "every which request is answered 503 after it has run")
	f.IntVar(&w.failBytes, "fail-bytes", 0, "length of that answer")
	f.Float64Var(&w.prefillRate, "prefill-rate", 0, "prompt tokens read in a millisecond")
	f.DurationVar(&w.beat, "beat", 1200*time.Millisecond, "time between entries")
	linger := f.Duration("linger", 4*time.Second, "time from draining to the end")
	_ = f.Parse(args)
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go w.keepRegistered()
	terms := make(chan os.Signal, 1)
	signal.Notify(terms, syscall.SIGTERM)
	go func() {
		<-terms
		w.leaving.Store(true)
		w.register()
		time.Sleep(*linger)
		os.Exit(0)
	}()
	_ = http.Serve(l, w)
}

func (w *worker) keepRegistered() {
	for {
		w.register()
		time.Sleep(w.beat)
	}
}

func (w *worker) register() {
	state := "ready"
	if w.leaving.Load() {
		state = "draining"
	}
	entry, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": state,
		"cold_remaining_ms": 0, "phase": "combined", "sequence": w.sequence.Add(1), "born": w.born,
		"model_list": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	})
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+w.store+"/standin/beat?id="+w.id, "application/json", bytes.NewReader(entry))
	if err == nil {
		_ = response.Body.Close()
	}
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", w.active.Load(), w.slots))
	w.stateLeaving(h)
	attempt := r.Header.Get("X-Attempt-Id")
	if attempt != "" {
		h.Set("X-Attempt-Id", attempt)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		h.Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		h.Set("X-Instance-Id", w.id)
		if w.leaving.Load() {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	case "/report":
		w.json(out, map[string]any{
			"phase": "combined", "busy": false, "sequence": 0, "queued": 0, "active": w.active.Load(), "kv_used_tokens": 0,
			"kv_total_tokens": 545002, "kv_handles": 0, "born": w.born,
			"model_list": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		})
		return
	case "/kv-list":
		w.json(out, map[string]any{"epoch": w.born, "next_token": 0, "held": []any{}, "born": w.born})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.active.Add(1)
	defer w.active.Add(-1)
	w.report("ran", r, attempt, len(body))
	defer w.report("ended", r, attempt, len(body))
	h.Set("X-Response-Seal", "5ea1."+w.id)
	if len(r.URL.Path) >= 6 && r.URL.Path[:6] == "/chat/" {
		w.stream(out, r, attempt)
		return
	}
	select {
	case <-time.After(w.work):
		w.stateLeaving(h)
		if w.failEvery > 0 && w.runs.Add(1)%int64(w.failEvery) == 0 {
			h.Set("Content-Length", strconv.Itoa(w.failBytes))
			out.WriteHeader(http.StatusServiceUnavailable)
			_, _ = out.Write(bytes.Repeat([]byte("x"), w.failBytes))
			return
		}
		w.json(out, map[string]any{"attempt": attempt, "server": w.id, "born": w.born, "version": w.version})
	case <-r.Context().Done():
	}
}

// stateLeaving states in an answer that the worker is leaving, if it is.
func (w *worker) stateLeaving(h http.Header) {
	if w.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
}

// stream sends the events after Last-Event-Id.
func (w *worker) stream(out http.ResponseWriter, r *http.Request, attempt string) {
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("X-Weight-Versions", "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.readPrompt(r)
	for n := last + 1; n <= w.pieces; n++ {
		pause := w.piece
		if n == last+1 {
			pause = firstPiece
		}
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		_, err := fmt.Fprintf(out, "id: %d\ndata: %s %d/%d %s %d %s\n\n", n, attempt, n, w.pieces, w.id, w.born, w.version)
		if err != nil {
			return
		}
		_ = http.NewResponseController(out).Flush()
	}
}

// readPrompt takes the time to read the prompt of a request, after those before it.
func (w *worker) readPrompt(r *http.Request) {
	if w.prefillRate == 0 {
		return
	}
	text, _, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	tokens, _ := strconv.ParseFloat(text, 64)
	w.prefill.Lock()
	defer w.prefill.Unlock()
	time.Sleep(time.Duration(tokens / w.prefillRate * float64(time.Millisecond)))
}

func (w *worker) json(out http.ResponseWriter, body any) {
	text, _ := json.Marshal(body)
	out.Header().Set("Content-Type", "application/json")
	_, _ = out.Write(text)
}

// report tells the runner what the worker ran.
func (w *worker) report(event string, r *http.Request, attempt string, body int) {
	if w.reports == "" {
		return
	}
	text := fmt.Sprintf("%s %s %s born %d %s attempt %s %s %s", event, w.id, w.version, w.born, r.RemoteAddr, attempt, r.Method, r.URL.Path)
	go func() {
		client := http.Client{Timeout: time.Second}
		response, err := client.Post("http://"+w.reports+"/", "text/plain", bytes.NewReader([]byte(text)))
		if err == nil {
			_ = response.Body.Close()
		}
	}()
}
