package engine

import (
	"encoding/json"
	"net/http"
	"sync"
)

// orderBody is an order to load exactly these models.
type orderBody struct {
	Fencing uint64   `json:"fencing"`
	Models  []string `json:"models"`
}

// orders holds the highest fencing number and the number of accepted orders.
type orders struct {
	mu      sync.Mutex
	fencing uint64
	count   int
}

// accept counts an order and reports true, or false if fencing is on and the
// fencing number is stale.
func (o *orders) accept(fencing uint64, fenced bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fenced && fencing < o.fencing {
		return false
	}
	o.fencing = max(o.fencing, fencing)
	o.count++
	return true
}

func (o *orders) accepted() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.count
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	e.faults.OnRequest(r)
	var b orderBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.orders.accept(b.Fencing, e.opts.fenced) {
		http.Error(w, "fencing number is old", http.StatusConflict)
		return
	}
	e.mu.Lock()
	e.opts.models = b.Models
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
