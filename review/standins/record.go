package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	At              time.Time
	Worker, Version string
	ID              string
	Path            string
}

// Record writes record.txt and keeps what the workers ran.
type Record struct {
	began time.Time
	file  *os.File
	mu    sync.Mutex
	runs  []run
}

// NewRecord creates the file.
func NewRecord(path string) *Record {
	f, err := os.Create(path)
	must(err)
	return &Record{began: time.Now(), file: f}
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Run records that a worker began to work on a request.
func (r *Record) Run(worker, version string, q *http.Request) {
	r.mu.Lock()
	r.runs = append(r.runs, run{At: time.Now(), Worker: worker, Version: version, ID: q.Header.Get("X-Attempt-Id"), Path: q.URL.Path})
	r.mu.Unlock()
	r.Add("run %s at %s (software %s) %s %s Last-Event-Id=%q", q.Header.Get("X-Attempt-Id"), worker, version, q.Method, q.URL.Path, q.Header.Get("Last-Event-Id"))
}

// Runs returns the runs that match.
func (r *Record) Runs(match func(run) bool) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []run
	for _, x := range r.runs {
		if match(x) {
			out = append(out, x)
		}
	}
	return out
}
