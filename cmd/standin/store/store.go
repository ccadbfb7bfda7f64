// Package store is a stand-in for the platform: a transactional table, an
// object store and a list of VMs.
package store

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"vanillalug.example/cmd/standin/fault"
	"vanillalug.example/depot"
	"vanillalug.example/reception"
)

const maxObjectBytes = 8 << 20

// Store is the platform.
type Store struct {
	mu      sync.Mutex
	key     string
	panel   *fault.Panel
	rows    map[string]depot.Row
	stale   map[string]depot.Row
	copied  map[string]depot.Row
	objects map[string][]byte
	vms     []depot.VMBody
	// vmsChanges counts the changes of the list.
	vmsChanges int
	counts     Counts
}

// Counts is what the store was asked to do.
type Counts struct {
	Reads  int `json:"reads"`
	Groups int `json:"groups"`
	Writes int `json:"writes"`
}

// New returns an empty store for clients that present the key.
func New(key string) *Store {
	s := &Store{
		key:     key,
		rows:    map[string]depot.Row{},
		objects: map[string][]byte{},
		vms:     []depot.VMBody{},
	}
	s.panel = fault.NewPanel(s.faultsChanged)
	return s
}

// Register adds the store to a server.
func (s *Store) Register(server *reception.Server) {
	s.panel.Register(server)
	server.Handle(http.MethodGet, "/table/row", s.guard(s.getRow))
	server.Handle(http.MethodGet, "/table/rows", s.guard(s.listRows))
	server.Handle(http.MethodPost, "/table/write", s.guard(s.write))
	server.Handle(http.MethodPost, "/table/transact", s.guard(s.transact))
	server.Handle(http.MethodGet, "/objects/", s.guard(s.getObject))
	server.Handle(http.MethodPut, "/objects/", s.guard(s.putObject))
	server.Handle(http.MethodGet, "/vms", s.guard(s.listVMs))
	server.Handle(http.MethodPost, "/vms", s.setVMs)
	server.Handle(http.MethodGet, "/counts", s.getCounts)
	server.Handle(http.MethodPost, "/copy", s.copyRows)
	server.Handle(http.MethodPost, "/restore", s.restoreRows)
}

func (s *Store) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.panel.Before(r)
		if !reception.Authenticated(r, s.key) {
			http.Error(w, "wrong key", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

func (s *Store) faultsChanged(f fault.Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if f.StaleReads {
		s.stale = maps.Clone(s.rows)
	}
}

// readable returns the rows that reads see.
func (s *Store) readable() map[string]depot.Row {
	if s.stale != nil {
		return s.stale
	}
	return s.rows
}

func (s *Store) getRow(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	row, ok := s.readable()[r.URL.Query().Get("key")]
	s.counts.Reads++
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	reception.WriteJSON(w, http.StatusOK, depot.NewRowBody(row))
}

func (s *Store) listRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	var b depot.RowsBody
	s.mu.Lock()
	s.counts.Reads++
	for key, row := range s.readable() {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			b.Rows = append(b.Rows, depot.NewRowBody(row))
		}
	}
	s.mu.Unlock()
	slices.SortFunc(b.Rows, func(x, y depot.RowBody) int { return cmp.Compare(x.Key, y.Key) })
	b.Rows = b.Rows[:min(max(limit, 0), len(b.Rows))]
	reception.WriteJSON(w, http.StatusOK, b)
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	writes, ok := readWrites(w, r)
	if !ok {
		return
	}
	var b depot.ResultsBody
	s.mu.Lock()
	s.counts.Groups++
	for _, x := range writes {
		b.Results = append(b.Results, depot.NewResultBody(s.apply(x)))
	}
	s.mu.Unlock()
	s.answer(w, http.StatusOK, b)
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	writes, ok := readWrites(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	s.counts.Groups++
	failed := ""
	for _, x := range writes {
		if !depot.Holds(x.Condition(), s.rows[x.Key()].Revision()) {
			failed = x.Key()
		}
	}
	for _, x := range writes {
		if failed == "" {
			s.apply(x)
		}
	}
	s.mu.Unlock()
	if failed != "" {
		s.answer(w, http.StatusConflict, depot.ConflictBody{Key: failed})
		return
	}
	s.answer(w, http.StatusOK, struct{}{})
}

// answer answers a write, unless the switch says that the answer is lost.
func (s *Store) answer(w http.ResponseWriter, status int, body any) {
	if s.panel.Strike(func(f *fault.Faults) *int { return &f.LoseAnswers }) {
		fault.Cut()
	}
	reception.WriteJSON(w, status, body)
}

func (s *Store) apply(x depot.Write) depot.Result {
	old := s.rows[x.Key()]
	if !depot.Holds(x.Condition(), old.Revision()) {
		return depot.NewRejected(old)
	}
	s.counts.Writes++
	row := depot.NewRow(x.Key(), x.Value(), old.Revision()+1)
	s.rows[x.Key()] = row
	return depot.NewWritten(row.Revision())
}

func readWrites(w http.ResponseWriter, r *http.Request) ([]depot.Write, bool) {
	var b depot.WritesBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	var out []depot.Write
	for _, x := range b.Writes {
		write, err := x.Write()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return nil, false
		}
		out = append(out, write)
	}
	return out, true
}

func (s *Store) getObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	raw, ok := s.objects[r.URL.Path]
	s.counts.Reads++
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(raw)
}

func (s *Store) putObject(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.objects[r.URL.Path] = raw
	s.counts.Writes++
	s.mu.Unlock()
	s.answer(w, http.StatusOK, struct{}{})
}

func (s *Store) listVMs(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	b := depot.VMsBody{VMs: s.vms}
	tag := fmt.Sprintf("%q", fmt.Sprint(s.vmsChanges))
	s.counts.Reads++
	s.mu.Unlock()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	reception.WriteJSON(w, http.StatusOK, b)
}

func (s *Store) setVMs(w http.ResponseWriter, r *http.Request) {
	var b depot.VMsBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.vms = b.VMs
	s.vmsChanges++
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// copyRows keeps a copy of the table.
func (s *Store) copyRows(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = maps.Clone(s.rows)
	w.WriteHeader(http.StatusNoContent)
}

// restoreRows puts the table back to the copy.
func (s *Store) restoreRows(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(s.copied)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.counts
	s.mu.Unlock()
	reception.WriteJSON(w, http.StatusOK, c)
}
