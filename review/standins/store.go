package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the store, as it is written on the wire.
type row struct {
	Table    string `json:"table_name"`
	Part     string `json:"part"`
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"row_version"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Store is a stand-in for the platform's store. The HTTP calls are those of the routers;
// workers and the operator write through its methods.
type Store struct {
	address  string
	listener net.Listener

	mu       sync.Mutex
	rows     map[string]row
	log      []row
	revision uint64
	changed  chan struct{}
	// silent is closed when the outage ends; nil while the store answers.
	silent chan struct{}
	began  time.Time
}

// NewStore starts a store on a free loopback port.
func NewStore() *Store {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	s := &Store{listener: l, address: l.Addr().String(), rows: map[string]row{}, changed: make(chan struct{}), began: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	go func() { _ = http.Serve(l, s.outage(mux)) }()
	return s
}

// outage holds calls while the store is silent; such a call is never answered and never done.
func (s *Store) outage(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silent := s.silence(); silent != nil {
			select {
			case <-silent:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Store-Era", "1")
		next.ServeHTTP(w, r)
	})
}

func (s *Store) silence() chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// SetSilent starts or ends an outage in which no call is answered or done.
func (s *Store) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && s.silent == nil {
		s.silent = make(chan struct{})
		close(s.changed) // calls in progress notice the outage
		s.changed = make(chan struct{})
	}
	if !on && s.silent != nil {
		close(s.silent)
		s.silent = nil
	}
}

// Put writes a row for a worker or the operator. It reports false, and writes nothing, during an outage.
func (s *Store) Put(table, key string, value any) bool {
	raw, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent != nil {
		return false
	}
	s.write(row{Table: table, Key: key, Value: raw})
	return true
}

// Delete removes a row; false during an outage.
func (s *Store) Delete(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent != nil {
		return false
	}
	s.write(row{Table: table, Key: key, Deleted: true})
	return true
}

func (s *Store) write(r row) {
	s.revision++
	r.Revision = s.revision
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": more, "row_version": s.revision, "now_ms": time.Since(s.began).Milliseconds(),
	})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	size := 500
	if n, err := strconv.Atoi(q.Get("page_size")); err == nil && n > 0 {
		size = min(n, size)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for _, x := range s.rows {
		if x.Table == q.Get("table_name") && x.Part == q.Get("part") && x.Key >= q.Get("from") &&
			(q.Get("target") == "" || x.Key < q.Get("target")) {
			out = append(out, x)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	more := len(out) > size
	if more {
		out = out[:size]
	}
	s.answer(w, http.StatusOK, out, more)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	limit := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.silent != nil {
			silent := s.silent
			s.mu.Unlock()
			select {
			case <-silent:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		if since > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var out []row
		for _, x := range s.log {
			if x.Table == q.Get("table_name") && x.Revision > since {
				out = append(out, x)
			}
		}
		changed := s.changed
		if len(out) > 0 {
			s.answer(w, http.StatusOK, out, false)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-limit:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Expected []row `json:"expected"`
		Write    []row `json:"write"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(append([]row{}, b.Write...), b.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	var current []row
	failed := false
	for _, x := range b.Expected {
		have := s.rows[x.id()]
		failed = failed || have.Revision != x.Revision
		if have.Revision > 0 {
			current = append(current, have)
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	for _, x := range b.Write {
		s.write(row{Table: x.Table, Part: x.Part, Key: x.Key, Value: x.Value})
	}
	for _, x := range b.Remove {
		s.write(row{Table: x.Table, Part: x.Part, Key: x.Key, Deleted: true})
	}
	s.answer(w, http.StatusOK, nil, false)
}
