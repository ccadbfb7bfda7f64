package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record is what the case has seen: what was sent, answered and run. It goes to record.txt.
type record struct {
	start time.Time

	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	runs  map[string][]string // by attempt id: the workers that ran it
	seals map[string]string   // by seal: the attempt id
	n     int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		start: time.Now(), out: bufio.NewWriter(file), file: file, runs: map[string][]string{}, seals: map[string]string{},
	}, nil
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// logf writes a line with the time since the start.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

func (r *record) arrived(w *worker, q *http.Request, body []byte) {
	r.logf("worker %s got %s %s %s, body %d bytes", w.id, q.Header.Get("X-Attempt-Id"), q.Method, q.RequestURI, len(body))
}

func (r *record) rejected(id string) { r.logf("worker rejected %s, not run", id) }

func (r *record) ran(w *worker, id string) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], w.id)
	r.mu.Unlock()
	r.logf("worker %s runs %s", w.id, id)
}

// runsOf returns which workers ran a request.
func (r *record) runsOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// seal returns a new proof for an answer to the request.
func (r *record) seal(w *worker, id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	s := fmt.Sprintf("%s.%x.%d", w.id, r.n, time.Now().UnixNano()&0xffffff)
	r.seals[s] = id
	return s
}

// sealedFor returns to which request a proof belongs.
func (r *record) sealedFor(seal string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seals[seal]
}
