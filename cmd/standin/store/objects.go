package store

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"vanillalug.example/depot"
	"vanillalug.example/reception"
)

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
	s.respond(w, http.StatusOK, struct{}{})
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
