package engine

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"vanillalug.example/cmd/standin/fault"
	"vanillalug.example/reception"
)

const (
	requestHeader = "X-Request-Id"
	sweepInterval = 200 * time.Millisecond
)

// Engine is a simulated inference engine. It generates no text: the tokens of
// a response repeat the first word of the last message.
type Engine struct {
	name    string
	opts    options
	started time.Time
	faults  *fault.Injector
	cache   *prefixCache
	reports reportLog
	orders  orders

	mu           sync.Mutex
	streams      map[string]*stream
	running      int
	peak         int
	total        int
	aborted      int
	promptTokens int
	cachedTokens int
}

// New returns an engine and starts the goroutine that removes unread streams.
func New(name string, opts ...Option) *Engine {
	o := options{models: []string{"small"}, slots: 16, cache: 1_000_000}
	for _, opt := range opts {
		opt(&o)
	}
	e := &Engine{
		name:    name,
		opts:    o,
		started: time.Now(),
		faults:  fault.NewInjector(nil),
		cache:   newPrefixCache(o.cache),
		streams: map[string]*stream{},
	}
	go e.sweep()
	return e
}

// Register adds the engine to a server.
func (e *Engine) Register(s *reception.Server) {
	e.faults.Register(s)
	s.Handle(http.MethodPost, "/v1/chat/completions", e.chat)
	s.Handle(http.MethodGet, "/v1/streams/{id}", e.resume)
	s.Handle(http.MethodDelete, "/v1/streams/{id}", e.cancel)
	s.Handle(http.MethodGet, "/report", e.report)
	s.Handle(http.MethodGet, "/cache/events", e.cacheEvents)
	s.Handle(http.MethodGet, "/cache", e.cacheAll)
	s.Handle(http.MethodPost, "/orders", e.order)
	s.Handle(http.MethodGet, "/counts", e.counts)
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	e.faults.OnRequest(r)
	req, err := readChatRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if word := e.faults.Current().CrashOn; word != "" && req.echoWord() == word {
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	if e.faults.Consume(func(f *fault.Faults) *int { return &f.Unavailable }) || !e.serves(req.Model) {
		http.Error(w, "model is not loaded", http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(requestHeader)
	s, ok := e.begin(id, req)
	if !ok {
		http.Error(w, "no free slot", http.StatusTooManyRequests)
		return
	}
	e.send(w, r, s, 0)
}

func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range e.opts.models {
		if m == model {
			return true
		}
	}
	return false
}

// begin returns the stream of a request, or a new one if there is none with
// this id. It reports false if no slot is free.
func (e *Engine) begin(id string, req chatRequest) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" {
		id = fmt.Sprintf("%s-%d", e.name, e.total)
	}
	if s, ok := e.streams[id]; ok {
		return s, true
	}
	if e.running >= e.opts.slots {
		return nil, false
	}
	prompt := req.promptTokens()
	cached := e.cache.use(req.CacheKey, prompt)
	wait := time.Duration(prompt-cached) * e.opts.prefill
	s := &stream{
		id: id, echoWord: req.echoWord(), total: req.MaxTokens, prompt: prompt, cached: cached,
		start: time.Now().Add(wait), interval: e.opts.interval, canceled: make(chan struct{}),
		leftAt: time.Now(),
	}
	e.streams[id] = s
	e.running++
	e.total++
	e.promptTokens += prompt
	e.cachedTokens += cached
	e.peak = max(e.peak, e.running)
	e.reports.add(time.Now(), e.running)
	return s, true
}

// end frees the slot of a stream. Its tokens can be read again until the stream
// is removed.
func (e *Engine) end(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	e.running--
	e.reports.add(time.Now(), e.running)
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	e.faults.OnRequest(r)
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "offset: want a whole number", http.StatusBadRequest)
		return
	}
	e.send(w, r, s, offset)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	s, ok := e.streams[r.PathValue("id")]
	if ok && !s.ended {
		e.aborted++
	}
	delete(e.streams, r.PathValue("id"))
	e.mu.Unlock()
	if ok {
		s.cancel()
		e.end(s)
	}
	w.WriteHeader(http.StatusNoContent)
}

// sweep removes streams that had no reader for maxUnreadTime.
func (e *Engine) sweep() {
	for now := range time.Tick(sweepInterval) {
		e.mu.Lock()
		var old []*stream
		for id, s := range e.streams {
			if s.abandoned(now) {
				old = append(old, s)
				delete(e.streams, id)
			}
		}
		e.mu.Unlock()
		for _, s := range old {
			s.cancel()
			e.end(s)
		}
	}
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	e.faults.OnRequest(r)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	b := e.cache.after(after)
	if e.faults.Current().DropCacheEvents && len(b.Events) > 0 {
		b.First++
		b.Events = b.Events[1:]
	}
	reception.WriteJSON(w, http.StatusOK, b)
}

func (e *Engine) cacheAll(w http.ResponseWriter, r *http.Request) {
	e.faults.OnRequest(r)
	reception.WriteJSON(w, http.StatusOK, e.cache.all())
}

// countsBody has the counters since the start of the engine, and the current
// number of running requests.
type countsBody struct {
	Name    string `json:"name"`
	Total   int    `json:"total"`
	Running int    `json:"running"`
	Peak    int    `json:"peak"`
	Aborted int    `json:"aborted"`
	Prompt  int    `json:"prompt-tokens"`
	Cached  int    `json:"cached-tokens"`
	Orders  int    `json:"orders"`
	Models  string `json:"models"`
}

func (e *Engine) counts(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	b := countsBody{
		Name: e.name, Total: e.total, Running: e.running, Peak: e.peak, Aborted: e.aborted,
		Prompt: e.promptTokens, Cached: e.cachedTokens, Models: strings.Join(e.opts.models, ","),
	}
	e.mu.Unlock()
	b.Orders = e.orders.accepted()
	reception.WriteJSON(w, http.StatusOK, b)
}
