// Package store is an in-memory simulation of the platform for tests: a
// transactional table, an object store and a list of VMs.
package store

import (
	"cmp"
	"encoding/json"
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

// Store is a simulated platform.
type Store struct {
	mu      sync.Mutex
	key     string
	faults  *fault.Injector
	rows    map[string]depot.Row
	stale   map[string]depot.Row
	backup  map[string]depot.Row
	objects map[string][]byte
	vms     []depot.VMBody
	// vmsChanges counts the changes of the VM list. It is the list's ETag.
	vmsChanges int
	counts     Counts
}

// Counts has the number of reads, of groups of writes, and of writes that took
// effect.
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
	s.faults = fault.NewInjector(s.faultsChanged)
	return s
}

// Register adds the store to a server.
func (s *Store) Register(server *reception.Server) {
	s.faults.Register(server)
	server.Handle(http.MethodGet, "/table/row", s.requireKey(s.getRow))
	server.Handle(http.MethodGet, "/table/rows", s.requireKey(s.listRows))
	server.Handle(http.MethodPost, "/table/write", s.requireKey(s.write))
	server.Handle(http.MethodPost, "/table/transact", s.requireKey(s.transact))
	server.Handle(http.MethodGet, "/objects/", s.requireKey(s.getObject))
	server.Handle(http.MethodPut, "/objects/", s.requireKey(s.putObject))
	server.Handle(http.MethodGet, "/vms", s.requireKey(s.listVMs))
	server.Handle(http.MethodPost, "/vms", s.setVMs)
	server.Handle(http.MethodGet, "/counts", s.getCounts)
	server.Handle(http.MethodPost, "/copy", s.copyRows)
	server.Handle(http.MethodPost, "/restore", s.restoreRows)
}

func (s *Store) requireKey(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.faults.OnRequest(r)
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

// visibleRows returns the rows that reads see, stale ones if the fault switch
// says so. Callers hold mu.
func (s *Store) visibleRows() map[string]depot.Row {
	if s.stale != nil {
		return s.stale
	}
	return s.rows
}

func (s *Store) getRow(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	row, ok := s.visibleRows()[r.URL.Query().Get("key")]
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
	for key, row := range s.visibleRows() {
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
	s.respond(w, http.StatusOK, b)
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
		s.respond(w, http.StatusConflict, depot.ConflictBody{Key: failed})
		return
	}
	s.respond(w, http.StatusOK, struct{}{})
}

// respond sends the response to a write, or loses it if the fault switch says
// so.
func (s *Store) respond(w http.ResponseWriter, status int, body any) {
	if s.faults.Consume(func(f *fault.Faults) *int { return &f.LoseResponses }) {
		fault.Abort()
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

// copyRows keeps a backup of the table.
func (s *Store) copyRows(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backup = maps.Clone(s.rows)
	w.WriteHeader(http.StatusNoContent)
}

// restoreRows replaces the table by the backup.
func (s *Store) restoreRows(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = maps.Clone(s.backup)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) getCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	c := s.counts
	s.mu.Unlock()
	reception.WriteJSON(w, http.StatusOK, c)
}
