package engine

import (
	"encoding/json"
	"net/http"
	"sync"
)

// orderBody is an order to have certain models loaded.
type orderBody struct {
	Fencing uint64   `json:"fencing"`
	Models  []string `json:"models"`
}

// orders keeps the newest fencing number and the number of orders taken.
type orders struct {
	mu      sync.Mutex
	fencing uint64
	count   int
}

// take reports whether the order is taken.
func (o *orders) take(fencing uint64, fenced bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fenced && fencing < o.fencing {
		return false
	}
	o.fencing = max(o.fencing, fencing)
	o.count++
	return true
}

func (o *orders) taken() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	e.panel.OnRequest(r)
	var b orderBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.orders.take(b.Fencing, e.opts.fenced) {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	e.mu.Lock()
	e.opts.models = b.Models
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
