package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// store is a stand-in for the platform's store: rows in tables, transactions,
// change feeds. Workers write their entries with a call of the stand-in itself,
// POST /standin/beat, as the pages don't tell how they do.
type store struct {
	log     *record
	address string

	mu      sync.Mutex
	changed chan struct{}
	version uint64
	rows    map[string]map[string]*row
	// entries are those of the workers, without their sequence.
	entries map[string]map[string]any
	started time.Time
	// lose tells of an entry that a worker writes whether the call gets no answer and
	// is performed later, and how much later. nil loses none.
	lose func(id string, entry map[string]any) (after time.Duration, lost bool)
	// afterBeat is called when a worker's entry was written.
	afterBeat func(id string, entry map[string]any)
}

type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowName struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"row_version"`
}

func newStore(log *record) *store {
	return &store{log: log, changed: make(chan struct{}), rows: map[string]map[string]*row{}, entries: map[string]map[string]any{}, started: time.Now()}
}

func (s *store) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/rows-get", s.get)
	mux.HandleFunc("/rows-feed", s.feed)
	mux.HandleFunc("/rows-tx", s.transact)
	mux.HandleFunc("/standin/beat", s.beat)
	go func() { _ = http.Serve(l, s.guard(mux)) }()
	return nil
}

// guard adds the era to all answers.
func (s *store) guard(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		w.Header().Set("Store-Era", "1")
		w.Header().Set("Content-Type", "application/json")
		h.ServeHTTP(w, r)
	})
}

// write sets rows, or removes those without a value, in one transaction. The caller holds mu.
func (s *store) write(names []rowName) {
	s.version++
	for _, n := range names {
		if s.rows[n.Table] == nil {
			s.rows[n.Table] = map[string]*row{}
		}
		s.rows[n.Table][n.Key] = &row{Table: n.Table, Part: n.Part, Key: n.Key, Value: n.Value, Version: s.version, Deleted: n.Value == nil}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes one row and returns its version.
func (s *store) put(table, key string, value any) uint64 {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]rowName{{Table: table, Key: key, Value: text}})
	return s.version
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.started).Milliseconds()
	text, _ := json.Marshal(body)
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for _, x := range s.rows[q.Get("table_name")] {
		if !x.Deleted && x.Key >= q.Get("from") && (q.Get("target") == "" || x.Key < q.Get("target")) {
			rows = append(rows, *x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if rows == nil {
		rows = []row{}
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": rows, "has_more": false, "row_version": s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for expired := wait == 0; ; {
		s.mu.Lock()
		rows, changed := s.since(q.Get("table_name"), since), s.changed
		if len(rows) > 0 || expired {
			s.answer(w, http.StatusOK, map[string]any{"rows": rows, "row_version": s.version})
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changed rows of a table in their order. The caller holds mu.
func (s *store) since(table string, version uint64) []row {
	rows := []row{}
	for _, x := range s.rows[table] {
		if x.Version > version {
			rows = append(rows, *x)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
	return rows
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []rowName `json:"expected"`
		Write    []rowName `json:"write"`
		Remove   []rowName `json:"remove"`
	}
	text, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(text, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range append(append([]rowName{}, body.Write...), body.Remove...) {
		if n.Table == "op" || n.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, e := range body.Expected {
		version := uint64(0)
		if x := s.rows[e.Table][e.Key]; x != nil && !x.Deleted {
			version = x.Version
		}
		if version != e.Version {
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}, "row_version": s.version})
			return
		}
	}
	for i := range body.Remove {
		body.Remove[i].Value = nil
	}
	s.write(append(body.Write, body.Remove...))
	s.answer(w, http.StatusOK, map[string]any{"row_version": s.version})
}

// beat writes the entry of a worker.
func (s *store) beat(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	var entry map[string]any
	text, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(text, &entry) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	lose := s.lose
	s.mu.Unlock()
	if lose != nil {
		if after, lost := lose(id, entry); lost {
			s.log.printf("store: the entry of %s born %v is not answered; it is performed %v later", id, entry["born"], after)
			time.AfterFunc(after, func() { s.perform(id, entry, true) })
			<-r.Context().Done()
			return
		}
	}
	s.perform(id, entry, false)
	s.mu.Lock()
	s.answer(w, http.StatusOK, map[string]any{"row_version": s.version})
	s.mu.Unlock()
}

// perform writes the entry of a worker, unless only its sequence has changed.
func (s *store) perform(id string, entry map[string]any, late bool) {
	shown := maps.Clone(entry)
	delete(shown, "sequence")
	s.mu.Lock()
	same := s.entries[id] != nil && maps.EqualFunc(s.entries[id], shown, func(a, b any) bool { return fmt.Sprint(a) == fmt.Sprint(b) })
	s.entries[id] = shown
	version := s.version
	s.mu.Unlock()
	if !same {
		version = s.put("servers", id, entry)
	}
	if late {
		s.log.printf("store: performs the late entry of %s: born %v, version %v, state %v, row version %d",
			id, entry["born"], entry["version"], entry["state"], version)
	}
	s.mu.Lock()
	after := s.afterBeat
	s.mu.Unlock()
	if after != nil {
		after(id, entry)
	}
}
