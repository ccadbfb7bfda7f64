package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in of a server. It registers in the store, sends liveness reports and answers as the
// pages say; hooks of a case change single answers.
type worker struct {
	f                          *fleet
	id, service, zone, address string
	version                    string
	born                       int64
	slots                      int
	sem                        chan struct{}
	listener                   net.Listener
	mu                         sync.Mutex
	conns                      map[net.Conn]bool
	sequence                   int64
	state                      string
	silent                     atomic.Bool // no liveness reports
	stop                       chan struct{}
	stopOnce                   sync.Once
	// answer may handle a request in place of the usual answer; it returns false to leave it.
	answer func(w *worker, c net.Conn, r *http.Request, body []byte, n int) (handled, keep bool)
	// head has header lines that all answers hold.
	head func() string
}

const beat = 1200 * time.Millisecond

func (f *fleet) startWorker(id, service, zone, ip, version string, slots int) (*worker, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		f: f, id: id, service: service, zone: zone, address: l.Addr().String(), born: time.Now().UnixMilli(), slots: slots,
		version: version, sem: make(chan struct{}, slots), listener: l, conns: map[net.Conn]bool{}, state: "ready", stop: make(chan struct{}),
	}
	go w.accept()
	go func() {
		w.report()
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(beat):
				if !w.silent.Load() {
					w.report()
				}
			}
		}
	}()
	return w, nil
}

// entry returns the next entry of the worker in the store.
func (w *worker) entry() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	raw, err := json.Marshal(map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": w.state,
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// report sends a liveness report.
func (w *worker) report() { w.f.store.put("servers", w.id, w.entry()) }

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !w.handle(c, r, body, n) {
			return
		}
	}
}

func (w *worker) handle(c net.Conn, r *http.Request, body []byte, n int) (keep bool) {
	id := r.Header.Get("X-Attempt-Id")
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
		return w.write(c, 421, id, "X-Not-Executed: 1\r\nX-Instance-Id: "+w.id+"\r\n", nil)
	}
	switch r.URL.Path {
	case "/healthz":
		return w.write(c, 200, "", "X-Instance-Id: "+w.id+"\r\n", nil)
	case "/kv-list":
		return w.write(c, 200, "", "", []byte(`{"epoch":1,"next_token":1,"held":[]}`))
	}
	if id == "" {
		return w.write(c, 400, "", "X-Not-Executed: 1\r\n", nil)
	}
	w.f.rec.arrived(w, r, body)
	if w.answer != nil {
		if handled, keep := w.answer(w, c, r, body, n); handled {
			return keep
		}
	}
	select {
	case w.sem <- struct{}{}:
		defer func() { <-w.sem }()
	case <-time.After(500 * time.Millisecond):
		w.f.rec.rejected(id)
		return w.write(c, 503, id, "X-Not-Executed: 1\r\n", nil)
	}
	w.f.rec.ran(w, id)
	time.Sleep(w.f.work)
	return w.write(c, 200, id, "X-Response-Seal: "+w.f.rec.seal(w, id)+"\r\n", answerBody(id))
}

// answerBody returns the body of the answer to a request, which only that request has.
func answerBody(id string) []byte { return []byte(strings.Repeat("answer "+id+"\n", 30)) }

func (w *worker) write(c net.Conn, status int, id, lines string, body []byte) bool {
	if id != "" {
		lines += "X-Attempt-Id: " + id + "\r\n"
	}
	if w.head != nil {
		lines += w.head()
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nKeep-Alive: timeout=15\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), lines, len(body), body)
	_, err := io.WriteString(c, text)
	return err == nil && !strings.Contains(lines, "Connection: close")
}

// exit ends the worker as the end of its process does.
func (w *worker) exit() {
	w.stopOnce.Do(func() { close(w.stop) })
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}
