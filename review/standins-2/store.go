package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: tables of rows with one counter of versions, a
// change feed, and transactions with expected versions. It loses nothing that it has acknowledged.
type store struct {
	address string
	start   time.Time

	mu      sync.Mutex
	version uint64
	tables  map[string]map[string]*storeRow
	changed chan struct{}
	server  *http.Server
}

type storeRow struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"row_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type storeReply struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"has_more"`
	Version uint64     `json:"row_version"`
	Now     int64      `json:"now_ms"`
}

func newStore(ip string) (*store, error) {
	s := &store{start: time.Now(), tables: map[string]map[string]*storeRow{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	mux.HandleFunc("PUT /server/{id}", s.putServer)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// set writes a row, or removes it if value is nil. The caller holds mu.
func (s *store) set(table, part, key string, value []byte) {
	t := s.tables[table]
	if t == nil {
		t = map[string]*storeRow{}
		s.tables[table] = t
	}
	t[part+"\x00"+key] = &storeRow{Table: table, Part: part, Key: key, Value: value, Version: s.version, Deleted: value == nil}
}

// put is a write of the operator or of a server; a nil value removes the row.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(table, "", key, value)
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(rows []storeRow) storeReply {
	if rows == nil {
		rows = []storeRow{}
	}
	return storeReply{Rows: rows, Version: s.version, Now: time.Since(s.start).Milliseconds()}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []storeRow
	for _, row := range s.tables[q.Get("table_name")] {
		if !row.Deleted && row.Part == q.Get("part") && row.Key >= q.Get("from") {
			rows = append(rows, *row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	out := s.reply(rows)
	s.mu.Unlock()
	send(w, http.StatusOK, out)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("since_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for last := wait == 0; ; {
		s.mu.Lock()
		var rows []storeRow
		for _, row := range s.tables[q.Get("table_name")] {
			if row.Version > since {
				rows = append(rows, *row)
			}
		}
		sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
		out, changed := s.reply(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 || last {
			send(w, http.StatusOK, out)
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected, Write, Remove []storeRow
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		version := uint64(0)
		if row := s.tables[e.Table][e.Part+"\x00"+e.Key]; row != nil && !row.Deleted {
			version = row.Version
		}
		if version != e.Version {
			send(w, http.StatusPreconditionFailed, s.reply(nil))
			return
		}
	}
	for _, row := range append(append([]storeRow{}, body.Write...), body.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, row := range body.Write {
		value := row.Value
		if value == nil {
			value = []byte{}
		}
		s.set(row.Table, row.Part, row.Key, value)
	}
	for _, row := range body.Remove {
		s.set(row.Table, row.Part, row.Key, nil)
	}
	s.notify()
	send(w, http.StatusOK, s.reply(nil))
}

// putServer writes the entry of a server, as a liveness report of it.
func (s *store) putServer(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.put("servers", r.PathValue("id"), value)
	send(w, http.StatusOK, map[string]any{})
}

func send(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
