package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["10"] = playLate }

const (
	drainTime = 2 * time.Second // drain_ms
	// appServers is of how many servers one leaves.
	appServers = 9
	// holdTime is how long a report is held up, and leaveAfter when the server leaves meanwhile.
	holdTime   = 5 * time.Second
	leaveAfter = 2500 * time.Millisecond
	// lapseTime is three liveness reports of silence, and the time until the store notices.
	lapseTime = 3*beat + 800*time.Millisecond
)

// playLate: a liveness report of a server is held up on its way to the store, which performs it after a
// later report and after the server has left. The server doesn't report that it drains; in its answers it
// says that it leaves.
func playLate(f *fleet) (verdict, error) {
	if err := f.publish(7, []map[string]any{appService("app")},
		route{Name: "r-book", Prefix: "/book/", Kind: "non_idempotent", Timeout: 1000, Goal: 150, Service: "app", Attempts: 1}); err != nil {
		return verdict{}, err
	}
	var leaver *worker
	for i := range appServers {
		w, err := f.startWorker("i-app"+string(rune('1'+i)), "app", f.zone(i), f.ip(2, i+1), "v1", 6)
		if err != nil {
			return verdict{}, err
		}
		leaver = w
	}
	var leaving atomic.Bool
	leaver.head = func() string {
		if leaving.Load() {
			return "Server-Leaving: 1\r\n"
		}
		return ""
	}
	var drained atomic.Int64 // when drain_ms has passed
	var late, lost atomic.Int64
	leaver.answer = func(w *worker, _ net.Conn, r *http.Request, _ []byte, _ int) (bool, bool) {
		if at := drained.Load(); at > 0 && time.Now().UnixNano() > at {
			late.Add(1)
			f.rec.logf("broken: worker %s got %s", w.id, r.Header.Get("X-Attempt-Id"))
		}
		return false, true
	}
	if err := f.startRouters(18); err != nil {
		return verdict{}, err
	}
	t := f.startTraffic(24, 1100*time.Millisecond,
		func() request {
			return request{id: f.newID(), method: "POST", path: "/book/crew", body: "deposit", deadline: time.Second}
		},
		func(q request, a answer, _ bool) {
			if (a.err != nil || a.status != 200) && len(f.rec.runsOf(q.id)) > 0 {
				lost.Add(1)
				f.rec.logf("lost: %s was run and its client got no answer of the server", q.id)
			}
		})
	time.Sleep(4 * time.Second)
	proxy, err := newHoldingProxy(f.ip(3, 2), f.store.address, holdTime)
	if err != nil {
		return verdict{}, err
	}
	defer proxy.close()
	performed := make(chan error, 1)
	held := time.Now()
	if f.trouble {
		report := leaver.entry()
		f.rec.logf("worker %s: a report is held up on its channel, sequence %d", leaver.id, leaver.sequence)
		go func() { performed <- putReport(proxy.address, leaver.id, report) }()
	}
	time.Sleep(leaveAfter)
	leaver.silent.Store(true)
	leaving.Store(true)
	f.store.put("servers", leaver.id, nil)
	drained.Store(time.Now().Add(drainTime).UnixNano())
	f.rec.logf("store: accepts that %s has left; it serves some seconds more", leaver.id)
	time.Sleep(time.Until(held.Add(holdTime)))
	if f.trouble {
		if err := <-performed; err != nil {
			return verdict{}, err
		}
		f.rec.logf("store: has performed the report of %s that was held up", leaver.id)
	}
	time.Sleep(lapseTime)
	if f.trouble {
		f.store.put("servers", leaver.id, nil)
		f.rec.logf("store: the entry of %s has lapsed", leaver.id)
	}
	time.Sleep(200 * time.Millisecond)
	leaver.exit()
	f.rec.logf("worker %s ends", leaver.id)
	time.Sleep(time.Second)
	t.stop()
	return verdict{
		broken: int(late.Load()),
		what:   fmt.Sprintf("requests reached a server over drain_ms after the store had accepted that it was gone; %d were run and lost", lost.Load()),
	}, nil
}

// putReport sends a liveness report of a server to the store, by way of a proxy.
func putReport(address, id string, report []byte) error {
	q, err := http.NewRequest(http.MethodPut, "http://"+address+"/server/"+id, bytes.NewReader(report))
	if err != nil {
		return err
	}
	w, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	return w.Body.Close()
}

// holdingProxy is a proxy that holds up what it receives for a time.
type holdingProxy struct {
	address  string
	listener net.Listener
}

func newHoldingProxy(ip, target string, hold time.Duration) (*holdingProxy, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go forwardAfter(c, target, hold)
		}
	}()
	return &holdingProxy{address: l.Addr().String(), listener: l}, nil
}

func (p *holdingProxy) close() { _ = p.listener.Close() }

func forwardAfter(c net.Conn, target string, hold time.Duration) {
	defer func() { _ = c.Close() }()
	time.Sleep(hold)
	out, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }()
	go func() { _, _ = io.Copy(out, c) }()
	_, _ = io.Copy(c, out)
}
